#include <bench/ExpectedOutcomes.h>

#include <algorithm>
#include <array>
#include <utility>

#include <details/ClusterYaml.h>
#include <details/YamlFields.h>

namespace bench {

namespace {

constexpr std::array<std::pair<RequestOutcome, const char *>, 6> outcomeNames = {{
        {RequestOutcome::Complete, "complete"},
        {RequestOutcome::Late, "late"},
        {RequestOutcome::Failed, "failed"},
        {RequestOutcome::NotRun, "not-run"},
        {RequestOutcome::Unknown, "unknown"},
        {RequestOutcome::Wrong, "wrong"},
}};

RequestOutcome parseOutcome(const YAML::Node &node)
{
    const auto text = node.as<std::string>();
    const auto found = std::find_if(outcomeNames.begin(), outcomeNames.end(),
                                    [&text](const auto &entry) { return entry.second == text; });
    if (found == outcomeNames.end()) {
        details::throwInvalidValue(node, "unknown outcome \"" + text + "\"");
    }
    return found->first;
}

OutcomeBounds parseBounds(const YAML::Node &node)
{
    details::requireKnownFields(node, {"min", "max"});
    return {node["min"].as<double>(0.0), node["max"].as<double>(1.0)};
}

double fractionOf(const std::vector<RequestOutcome> &outcomes, RequestOutcome outcome)
{
    const auto count = std::count(outcomes.begin(), outcomes.end(), outcome);
    return static_cast<double>(count) / static_cast<double>(outcomes.size());
}

std::string describeDeviation(const std::string &name, RequestOutcome outcome,
                              const OutcomeBounds &bounds, double fraction)
{
    return name + ": " + outcomeName(outcome) + " is " + std::to_string(fraction) + ", stated "
           + std::to_string(bounds.min_) + " to " + std::to_string(bounds.max_);
}

} // namespace

std::string outcomeName(RequestOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)].second;
}

base::Result<ExpectedOutcomes> ExpectedOutcomes::parse(const std::string &text)
{
    try {
        const YAML::Node node = YAML::Load(text);
        if (!node.IsMap()) {
            return base::fail("bad-outcomes", "expected a mapping");
        }
        details::requireKnownFields(
                node, {"seed", "note", "region", "dataCentres", "services", "outcomes"});
        ExpectedOutcomes expected;
        expected.cluster_ = details::parseCluster(node);
        for (const auto &byClass : node["outcomes"]) {
            auto &bounds = expected.byClass_[byClass.first.as<std::string>()];
            for (const auto &outcome : byClass.second) {
                bounds[parseOutcome(outcome.first)] = parseBounds(outcome.second);
            }
        }
        return expected;
    } catch (const YAML::Exception &error) {
        return base::fail("bad-outcomes", error.what());
    }
}

std::vector<std::string> ExpectedOutcomes::deviations(
        const std::map<std::string, std::vector<RequestOutcome>> &outcomes) const
{
    std::vector<std::string> result;
    for (const auto &[name, unused] : outcomes) {
        if (!byClass_.contains(name)) {
            result.push_back(name + ": no expected outcomes are given");
        }
    }
    for (const auto &[name, bounds] : byClass_) {
        const auto found = outcomes.find(name);
        if (found == outcomes.end() || found->second.empty()) {
            result.push_back(name + ": the trace has no requests");
            continue;
        }
        for (const auto &[outcome, bound] : bounds) {
            const double fraction = fractionOf(found->second, outcome);
            if (fraction < bound.min_ || fraction > bound.max_) {
                result.push_back(describeDeviation(name, outcome, bound, fraction));
            }
        }
    }
    return result;
}

} // namespace bench
