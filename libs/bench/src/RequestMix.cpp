#include <bench/RequestMix.h>

#include <details/YamlFields.h>

namespace bench {

namespace {

RequestKind parseKind(const YAML::Node &node)
{
    details::requireKnownFields(node, {"name", "service", "method", "path", "customer", "weight",
                                       "bodyBytes", "answerBytes", "deadlineMs", "idempotent",
                                       "protected"});
    RequestKind kind;
    kind.name_ = node["name"].as<std::string>();
    kind.service_ = node["service"].as<std::string>();
    kind.method_ = node["method"].as<std::string>(kind.method_);
    kind.path_ = node["path"].as<std::string>(kind.path_);
    kind.customer_ = node["customer"].as<std::string>("");
    kind.weight_ = node["weight"].as<double>(kind.weight_);
    kind.bodyBytes_ = node["bodyBytes"].as<std::size_t>(kind.bodyBytes_);
    kind.answerBytes_ = node["answerBytes"].as<std::size_t>(kind.answerBytes_);
    kind.deadline_ = base::Millis(node["deadlineMs"].as<std::int64_t>(kind.deadline_.count()));
    kind.idempotent_ = node["idempotent"].as<bool>(kind.idempotent_);
    kind.protected_ = node["protected"].as<bool>(kind.protected_);
    if (!(kind.weight_ > 0.0)) {
        details::rejectValue(node, "weight must be above 0");
    }
    return kind;
}

} // namespace

base::Result<RequestMix> RequestMix::parse(const YAML::Node &classes)
{
    RequestMix mix;
    try {
        for (const YAML::Node &node : classes) {
            mix.kinds_.push_back(parseKind(node));
        }
    } catch (const YAML::Exception &error) {
        return base::fail("bad-mix", error.what());
    }
    if (mix.kinds_.empty()) {
        return base::fail("bad-mix", "no classes are given");
    }
    return mix;
}

base::Result<RequestMix> RequestMix::parseText(const std::string &text)
{
    try {
        return parse(YAML::Load(text)["classes"]);
    } catch (const YAML::Exception &error) {
        return base::fail("bad-mix", error.what());
    }
}

std::size_t RequestMix::pick(base::Random &random) const
{
    double total = 0.0;
    for (const RequestKind &kind : kinds_) {
        total += kind.weight_;
    }
    double rest = random.unit() * total;
    for (std::size_t index = 0; index + 1 < kinds_.size(); ++index) {
        rest -= kinds_[index].weight_;
        if (rest < 0.0) {
            return index;
        }
    }
    return kinds_.size() - 1;
}

} // namespace bench
