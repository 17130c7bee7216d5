#include <model/Config.h>

namespace model {

namespace {

const RequestClass &defaultClass()
{
    static const RequestClass instance = {.name_ = "default", .rank_ = RequestClass::lowestRank};
    return instance;
}

bool matches(const RequestClass &candidate, std::string_view service, std::string_view method,
             std::string_view path)
{
    if (candidate.service_ != service)
        return false;
    if (!candidate.method_.empty() && candidate.method_ != method)
        return false;
    return path.starts_with(candidate.pathPrefix_);
}

bool isMoreSpecific(const RequestClass &a, const RequestClass &b)
{
    if (a.pathPrefix_.size() != b.pathPrefix_.size())
        return a.pathPrefix_.size() > b.pathPrefix_.size();
    return !a.method_.empty() && b.method_.empty();
}

} // namespace

const RequestClass &Config::classify(std::string_view service, std::string_view method,
                                     std::string_view path) const
{
    const RequestClass *best = nullptr;
    for (const auto &[name, candidate] : classes_) {
        if (!matches(candidate, service, method, path))
            continue;
        if (best == nullptr || isMoreSpecific(candidate, *best))
            best = &candidate;
    }
    return best != nullptr ? *best : defaultClass();
}

const Route *Config::route(std::string_view host, std::string_view path) const
{
    const auto routes = routes_.find(host);
    if (routes == routes_.end())
        return nullptr;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end())
            return &found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

void Config::addCustomer(Customer customer)
{
    requiresKeys_ = requiresKeys_ || !customer.keys_.empty();
    if (const auto former = customers_.find(customer.name_); former != customers_.end()) {
        for (const auto &key : former->second.keys_) {
            if (const auto held = customerByKey_.find(key);
                held != customerByKey_.end() && held->second == customer.name_)
                customerByKey_.erase(held);
        }
    }
    for (const auto &key : customer.keys_)
        customerByKey_.try_emplace(key, customer.name_);
    auto name = customer.name_;
    customers_.insert_or_assign(std::move(name), std::move(customer));
}

const Customer *Config::customerOf(const KeyDigest &key) const
{
    const auto found = customerByKey_.find(key);
    if (found == customerByKey_.end())
        return nullptr;
    const auto customer = customers_.find(found->second);
    return customer != customers_.end() ? &customer->second : nullptr;
}

} // namespace model
