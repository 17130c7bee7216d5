#include <bench/RequestMix.h>

#include <details/YamlFields.h>

namespace bench {

namespace {

RequestClass parseClass(const YAML::Node &node)
{
    details::requireKnownFields(node, {"name", "service", "method", "path", "customer", "weight",
                                       "bodyBytes", "answerBytes", "deadlineMs", "idempotent",
                                       "protected"});
    RequestClass requestClass;
    requestClass.name_ = node["name"].as<std::string>();
    requestClass.service_ = node["service"].as<std::string>();
    requestClass.method_ = node["method"].as<std::string>(requestClass.method_);
    requestClass.path_ = node["path"].as<std::string>(requestClass.path_);
    requestClass.customer_ = node["customer"].as<std::string>("");
    requestClass.weight_ = node["weight"].as<double>(requestClass.weight_);
    requestClass.bodyBytes_ = node["bodyBytes"].as<std::size_t>(requestClass.bodyBytes_);
    requestClass.answerBytes_ = node["answerBytes"].as<std::size_t>(requestClass.answerBytes_);
    requestClass.deadline_ =
            base::Millis(node["deadlineMs"].as<std::int64_t>(requestClass.deadline_.count()));
    requestClass.idempotent_ = node["idempotent"].as<bool>(requestClass.idempotent_);
    requestClass.protected_ = node["protected"].as<bool>(requestClass.protected_);
    if (!(requestClass.weight_ > 0.0)) {
        details::throwInvalidValue(node, "weight must be above 0");
    }
    return requestClass;
}

} // namespace

base::Result<RequestMix> RequestMix::parse(const YAML::Node &classes)
{
    RequestMix mix;
    try {
        for (const YAML::Node &node : classes) {
            mix.classes_.push_back(parseClass(node));
        }
    } catch (const YAML::Exception &error) {
        return base::fail("bad-mix", error.what());
    }
    if (mix.classes_.empty()) {
        return base::fail("bad-mix", "classes must not be empty");
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
    for (const RequestClass &requestClass : classes_) {
        total += requestClass.weight_;
    }
    double rest = random.unit() * total;
    for (std::size_t index = 0; index + 1 < classes_.size(); ++index) {
        rest -= classes_[index].weight_;
        if (rest < 0.0) {
            return index;
        }
    }
    return classes_.size() - 1;
}

} // namespace bench
