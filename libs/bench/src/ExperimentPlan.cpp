#include <bench/ExperimentPlan.h>

#include <algorithm>
#include <map>

#include <details/ClusterYaml.h>
#include <details/YamlFields.h>

namespace bench {

namespace {

using details::requireKnownFields;
using details::throwInvalidValue;

base::Millis millis(const YAML::Node &node, base::Millis fallback)
{
    return base::Millis(node.as<std::int64_t>(fallback.count()));
}

template<typename T>
T parseEnum(const YAML::Node &node, const std::map<std::string, T> &names)
{
    const auto found = names.find(node.as<std::string>());
    if (found == names.end()) {
        throwInvalidValue(node, "unknown name \"" + node.as<std::string>() + "\"");
    }
    return found->second;
}

PlannedStep parseStep(const YAML::Node &node)
{
    requireKnownFields(node, {"atMs", "action", "target", "service", "instance", "faults"});
    PlannedStep step;
    step.offset_ = millis(node["atMs"], base::Millis(0));
    step.action_ = parseEnum<StepAction>(node["action"], {{"faults", StepAction::Faults},
                                                          {"kill", StepAction::Kill},
                                                          {"pause", StepAction::Pause},
                                                          {"resume", StepAction::Resume},
                                                          {"terminate", StepAction::Terminate}});
    step.target_ = parseEnum<StepTarget>(node["target"], {{"log", StepTarget::Log},
                                                          {"daemon", StepTarget::Daemon},
                                                          {"backend", StepTarget::Backend}});
    step.service_ = node["service"].as<std::string>("");
    if (node["instance"]) {
        step.instance_ = node["instance"].as<std::uint32_t>();
    }
    step.faults_ = node["faults"].as<std::string>("");
    return step;
}

PlannedPhase parsePhase(const YAML::Node &node)
{
    requireKnownFields(node, {"name", "seconds", "load", "steps"});
    PlannedPhase phase;
    phase.name_ = node["name"].as<std::string>();
    phase.duration_ = base::Millis(node["seconds"].as<std::int64_t>() * 1000);
    phase.loadFactor_ = node["load"].as<double>(phase.loadFactor_);
    for (const YAML::Node &step : node["steps"]) {
        phase.steps_.push_back(parseStep(step));
    }
    return phase;
}

ExperimentTargets parseExperimentTargets(const YAML::Node &node)
{
    requireKnownFields(node, {"goodputPhase", "goodputRatio", "protectedCapacity", "recoveryPhase",
                              "recoveryMs"});
    ExperimentTargets targets;
    targets.goodputPhase_ = node["goodputPhase"].as<std::string>();
    targets.minGoodputRatio_ = node["goodputRatio"].as<double>();
    targets.protectedCapacityPerSecond_ = node["protectedCapacity"].as<double>();
    targets.recoveryPhase_ = node["recoveryPhase"].as<std::string>();
    targets.maxRecoveryTime_ = millis(node["recoveryMs"], targets.maxRecoveryTime_);
    return targets;
}

void requirePhase(const ExperimentPlan &plan, const YAML::Node &node)
{
    const bool known = std::any_of(
            plan.phases_.begin(), plan.phases_.end(),
            [&node](const PlannedPhase &phase) { return phase.name_ == node.as<std::string>(); });
    if (!known) {
        throwInvalidValue(node, "unknown phase");
    }
}

ExperimentPlan parsePlan(const YAML::Node &node)
{
    requireKnownFields(node, {"name", "seed", "note", "region", "dataCentres", "modes", "services",
                              "classes", "rate", "retries", "retryDelayMs", "phases", "targets"});
    ExperimentPlan plan;
    plan.name_ = node["name"].as<std::string>();
    plan.cluster_ = details::parseCluster(node);
    plan.modes_ = node["modes"].as<std::vector<std::string>>();
    plan.requestsPerSecond_ = node["rate"].as<double>();
    plan.retries_ = node["retries"].as<std::uint32_t>(plan.retries_);
    plan.retryDelay_ = millis(node["retryDelayMs"], plan.retryDelay_);
    for (const YAML::Node &phase : node["phases"]) {
        plan.phases_.push_back(parsePhase(phase));
    }
    plan.targets_ = parseExperimentTargets(node["targets"]);
    requirePhase(plan, node["targets"]["goodputPhase"]);
    requirePhase(plan, node["targets"]["recoveryPhase"]);
    if (!(plan.requestsPerSecond_ > 0.0)) {
        throwInvalidValue(node, "rate must be above 0");
    }
    return plan;
}

} // namespace

base::Result<ExperimentPlan> ExperimentPlan::parse(const std::string &text)
{
    try {
        const YAML::Node node = YAML::Load(text);
        if (!node.IsMap()) {
            return base::fail("bad-plan", "expected a mapping");
        }
        ExperimentPlan plan = parsePlan(node);
        return RequestMix::parse(node["classes"]).map([&plan](RequestMix mix) {
            plan.mix_ = std::move(mix);
            return plan;
        });
    } catch (const YAML::Exception &error) {
        return base::fail("bad-plan", error.what());
    }
}

} // namespace bench
