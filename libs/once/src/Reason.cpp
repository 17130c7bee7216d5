#include <once/Reason.h>

#include <array>
#include <cstddef>

namespace once {

namespace {

constexpr std::array<std::string_view, 28> reasonTexts = {
        "none",
        "bad-key",
        "no-instance",
        "overloaded",
        "draining",
        "backend-unavailable",
        "backend-refused",
        "deadline-passed",
        "no-room",
        "cancelled",
        "never-arrived",
        "key-burned",
        "key-expired",
        "key-mismatch",
        "other-generation",
        "home-unreachable",
        "executor-unreachable",
        "answer-lost",
        "answer-not-kept",
        "forgotten",
        "still-running",
        "too-many-waiting",
        "customer-limit",
        "repeat-limit",
        "allowance-spent",
        "allowance-unknown",
        "unconfirmed",
        "unknown-key",
};
static_assert(reasonTexts.size() == static_cast<std::size_t>(Reason::UnknownKey) + 1);

} // namespace

std::string_view reasonText(Reason reason)
{
    return reasonTexts[static_cast<std::size_t>(reason)];
}

Reason parseReason(std::string_view text)
{
    for (std::size_t i = 0; i < reasonTexts.size(); ++i) {
        if (reasonTexts[i] == text)
            return static_cast<Reason>(i);
    }
    return Reason::None;
}

} // namespace once
