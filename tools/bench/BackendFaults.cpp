#include <BackendFaults.h>

#include <nlohmann/json.hpp>

namespace bench {

namespace {

template<typename T>
std::optional<T> updatedOverride(const nlohmann::json &body, const char *name,
                                 std::optional<T> present)
{
    const auto field = body.find(name);
    if (field == body.end()) {
        return present;
    }
    return field->is_null() ? std::nullopt : std::optional<T>(field->get<T>());
}

} // namespace

base::Result<BackendFaults> BackendFaults::updatedFrom(const nlohmann::json &body) const
{
    if (!body.is_object()) {
        return base::fail("bad-faults", "expected a JSON object");
    }
    try {
        BackendFaults changed = *this;
        changed.slowFactor_ = body.value("slowFactor", slowFactor_);
        changed.healthOverride_ = updatedOverride(body, "healthStuck", healthOverride_);
        changed.loadOverride_ = updatedOverride(body, "loadStuck", loadOverride_);
        changed.loseAnswers_ = body.value("loseAnswers", loseAnswers_);
        changed.rejectAll_ = body.value("shed", rejectAll_);
        return changed;
    } catch (const nlohmann::json::exception &error) {
        return base::fail("bad-faults", error.what());
    }
}

} // namespace bench
