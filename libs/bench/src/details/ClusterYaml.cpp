#include <details/ClusterYaml.h>

#include <bench/CallSpec.h>
#include <details/YamlFields.h>

namespace bench::details {

namespace {

PlannedService parseService(const YAML::Node &node)
{
    requireKnownFields(node, {"name", "instances", "slots", "connections", "queue", "timeMs",
                              "timeVariation", "contention", "calls"});
    PlannedService service;
    service.name_ = node["name"].as<std::string>();
    service.instances_ = node["instances"].as<std::uint32_t>();
    service.slots_ = node["slots"].as<std::uint32_t>();
    service.connections_ = node["connections"].as<std::uint32_t>();
    service.queueLimit_ = node["queue"].as<std::size_t>(service.queueLimit_);
    service.serviceTime_.mean_ =
            base::Millis(node["timeMs"].as<std::int64_t>(service.serviceTime_.mean_.count()));
    service.serviceTime_.variation_ =
            node["timeVariation"].as<double>(service.serviceTime_.variation_);
    service.contentionFactor_ = node["contention"].as<double>(service.contentionFactor_);
    service.calls_ = node["calls"].as<std::vector<std::string>>(service.calls_);
    for (const std::string &call : service.calls_) {
        if (const auto parsed = CallSpec::parse(call); !parsed) {
            throwInvalidValue(node["calls"], parsed.error().message_);
        }
    }
    return service;
}

} // namespace

PlannedCluster parseCluster(const YAML::Node &node)
{
    PlannedCluster cluster;
    cluster.seed_ = node["seed"].as<std::uint64_t>(cluster.seed_);
    cluster.notePath_ = node["note"].as<std::string>();
    cluster.region_ = node["region"].as<std::string>();
    cluster.dataCentres_ = node["dataCentres"].as<std::vector<std::string>>();
    for (const YAML::Node &service : node["services"]) {
        cluster.services_.push_back(parseService(service));
    }
    if (cluster.dataCentres_.empty() || cluster.services_.empty()) {
        throwInvalidValue(node, "dataCentres and services must not be empty");
    }
    return cluster;
}

} // namespace bench::details
