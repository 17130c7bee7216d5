#include <bench/ExperimentPlan.h>

#include <algorithm>
#include <map>

#include <details/ClusterYaml.h>
#include <details/YamlFields.h>

namespace bench {

namespace {

using details::rejectValue;
using details::requireKnownFields;

base::Millis millis(const YAML::Node &node, base::Millis fallback)
{
    return base::Millis(node.as<std::int64_t>(fallback.count()));
}

template<typename T>
T parseName(const YAML::Node &node, const std::map<std::string, T> &names)
{
    const auto found = names.find(node.as<std::string>());
    if (found == names.end()) {
        rejectValue(node, "unknown name \"" + node.as<std::string>() + "\"");
    }
    return found->second;
}

PlannedStep parseStep(const YAML::Node &node)
{
    requireKnownFields(node, {"atMs", "action", "target", "service", "instance", "faults"});
    PlannedStep step;
    step.at_ = millis(node["atMs"], base::Millis(0));
    step.action_ = parseName<StepAction>(node["action"], {{"faults", StepAction::Faults},
                                                          {"kill", StepAction::Kill},
                                                          {"pause", StepAction::Pause},
                                                          {"resume", StepAction::Resume},
                                                          {"terminate", StepAction::Terminate}});
    step.target_ = parseName<StepTarget>(node["target"], {{"log", StepTarget::Log},
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
    phase.length_ = base::Millis(node["seconds"].as<std::int64_t>() * 1000);
    phase.load_ = node["load"].as<double>(phase.load_);
    for (const YAML::Node &step : node["steps"]) {
        phase.steps_.push_back(parseStep(step));
    }
    return phase;
}

Targets parseTargets(const YAML::Node &node)
{
    requireKnownFields(node, {"goodputPhase", "goodputRatio", "protectedCapacity", "recoveryPhase",
                              "recoveryMs"});
    Targets targets;
    targets.goodputPhase_ = node["goodputPhase"].as<std::string>();
    targets.goodputRatio_ = node["goodputRatio"].as<double>();
    targets.protectedCapacity_ = node["protectedCapacity"].as<double>();
    targets.recoveryPhase_ = node["recoveryPhase"].as<std::string>();
    targets.recovery_ = millis(node["recoveryMs"], targets.recovery_);
    return targets;
}

void requirePhase(const ExperimentPlan &plan, const YAML::Node &node)
{
    const bool known = std::any_of(
            plan.phases_.begin(), plan.phases_.end(),
            [&node](const PlannedPhase &phase) { return phase.name_ == node.as<std::string>(); });
    if (!known) {
        rejectValue(node, "no such phase");
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
    plan.rate_ = node["rate"].as<double>();
    plan.retries_ = node["retries"].as<std::uint32_t>(plan.retries_);
    plan.retryDelay_ = millis(node["retryDelayMs"], plan.retryDelay_);
    for (const YAML::Node &phase : node["phases"]) {
        plan.phases_.push_back(parsePhase(phase));
    }
    plan.targets_ = parseTargets(node["targets"]);
    requirePhase(plan, node["targets"]["goodputPhase"]);
    requirePhase(plan, node["targets"]["recoveryPhase"]);
    if (!(plan.rate_ > 0.0)) {
        rejectValue(node, "rate must be above 0");
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
