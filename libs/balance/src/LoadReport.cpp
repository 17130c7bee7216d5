#include <balance/LoadReport.h>

#include <array>
#include <charconv>

namespace balance {

namespace {

constexpr std::int64_t microsPerUnit = 100;
constexpr std::uint32_t maxActive = 1'000'000;
constexpr std::uint32_t maxLimit = 100'000;
constexpr std::uint32_t maxHoldingUnits = 36'000'000; // an hour

} // namespace

std::string LoadReport::toString() const
{
    return std::to_string(active_) + ' ' + std::to_string(limit_) + ' '
           + std::to_string(holding_.micros() / microsPerUnit);
}

std::optional<LoadReport> LoadReport::parse(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers = {};
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        if (i > 0 && (position == end || *position++ != ' '))
            return std::nullopt;
        const auto [next, status] = std::from_chars(position, end, numbers[i]);
        if (status != std::errc())
            return std::nullopt;
        position = next;
    }
    const auto [active, limit, holding] = numbers;
    if (position != end || active > maxActive || limit == 0 || limit > maxLimit
        || holding > maxHoldingUnits)
        return std::nullopt;
    return LoadReport{active, limit, base::Millis::fromMicros(holding * microsPerUnit)};
}

} // namespace balance
