#include <KeyStore.h>

#include <utility>

#include <Json.h>
#include <Protocol.h>
#include <bench/RequestClass.h>

namespace bench {

namespace {

constexpr std::size_t refillThreshold = 50;
constexpr std::size_t refillCount = 100;
constexpr std::size_t maxPoolSize = 200;
constexpr base::Millis fetchTimeout(1000);

std::string poolName(const RequestClass &requestClass)
{
    return requestClass.service_ + " " + requestClass.customer_;
}

std::vector<std::string> keysOf(const net::CallResult &result)
{
    if (!result || result->status_ != 200) {
        return {};
    }
    const nlohmann::json body = parseJson(result->body_);
    if (!body.is_object() || !body.contains("keys") || !body["keys"].is_array()) {
        return {};
    }
    std::vector<std::string> keys;
    for (const nlohmann::json &key : body["keys"]) {
        if (key.is_string()) {
            keys.push_back(key.get<std::string>());
        }
    }
    return keys;
}

} // namespace

KeyStore::KeyStore(net::HttpClient &client)
    : client_(client)
{}

std::optional<std::string> KeyStore::take(const RequestClass &requestClass,
                                          const model::Address &daemon)
{
    KeyPool &pool = pools_[poolName(requestClass)];
    if (pool.keys_.size() < refillThreshold && !pool.isFetching_) {
        fetch(requestClass, daemon, pool);
    }
    if (pool.keys_.empty()) {
        return std::nullopt;
    }
    std::string key = std::move(pool.keys_.front());
    pool.keys_.pop_front();
    return key;
}

void KeyStore::add(const RequestClass &requestClass, std::string key)
{
    KeyPool &pool = pools_[poolName(requestClass)];
    pool.keys_.push_back(std::move(key));
    if (pool.keys_.size() > maxPoolSize) {
        pool.keys_.pop_front(); // the oldest key expires first
    }
}

void KeyStore::fetch(const RequestClass &requestClass, const model::Address &daemon, KeyPool &pool)
{
    pool.isFetching_ = true;
    const nlohmann::json body = {{"service", requestClass.service_}, {"count", refillCount}};
    net::HttpRequest request{"POST",
                             "/.fuchsiadock/keys",
                             {{"Content-Type", "application/json"},
                              {std::string(protocol::customer), requestClass.customer_}},
                             body.dump()};
    client_.send(daemon, std::move(request), fetchTimeout,
                 [this, requestClass](const net::CallResult &result) {
                     pools_[poolName(requestClass)].isFetching_ = false;
                     for (std::string &key : keysOf(result)) {
                         add(requestClass, std::move(key));
                     }
                 });
}

} // namespace bench
