#include <KeyStore.h>

#include <utility>

#include <Json.h>
#include <Protocol.h>
#include <bench/RequestClass.h>

namespace bench {

namespace {

constexpr std::size_t fetchBelow = 50;
constexpr std::size_t fetchCount = 100;
constexpr std::size_t maxKept = 200;
constexpr base::Millis fetchTimeout(1000);

std::string stockName(const RequestClass &requestClass)
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
    Stock &stock = stocks_[stockName(requestClass)];
    if (stock.keys_.size() < fetchBelow && !stock.fetching_) {
        fetch(requestClass, daemon, stock);
    }
    if (stock.keys_.empty()) {
        return std::nullopt;
    }
    std::string key = std::move(stock.keys_.front());
    stock.keys_.pop_front();
    return key;
}

void KeyStore::add(const RequestClass &requestClass, std::string key)
{
    Stock &stock = stocks_[stockName(requestClass)];
    stock.keys_.push_back(std::move(key));
    if (stock.keys_.size() > maxKept) {
        stock.keys_.pop_front(); // the oldest one expires first
    }
}

void KeyStore::fetch(const RequestClass &requestClass, const model::Address &daemon, Stock &stock)
{
    stock.fetching_ = true;
    const nlohmann::json body = {{"service", requestClass.service_}, {"count", fetchCount}};
    net::HttpRequest request{"POST",
                             "/.fuchsiadock/keys",
                             {{"Content-Type", "application/json"},
                              {std::string(protocol::customer), requestClass.customer_}},
                             body.dump()};
    client_.send(daemon, std::move(request), fetchTimeout,
                 [this, requestClass](const net::CallResult &result) {
                     stocks_[stockName(requestClass)].fetching_ = false;
                     for (std::string &key : keysOf(result)) {
                         add(requestClass, std::move(key));
                     }
                 });
}

} // namespace bench
