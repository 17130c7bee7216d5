#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <model/Address.h>
#include <net/HttpClient.h>

namespace bench {

struct RequestClass;

/** Idempotency keys of a caller, fetched ahead for each service and customer. */
class KeyStore
{
public:
    explicit KeyStore(net::HttpClient &client);

    /** Takes a key, if there is one, and fetches more from the daemon when few are left. */
    std::optional<std::string> take(const RequestClass &requestClass, const model::Address &daemon);

    /** Keeps a key that came with an answer. */
    void add(const RequestClass &requestClass, std::string key);

private:
    struct Stock
    {
        std::deque<std::string> keys_;
        bool fetching_ = false;
    };

    void fetch(const RequestClass &requestClass, const model::Address &daemon, Stock &stock);

    net::HttpClient &client_;
    std::map<std::string, Stock> stocks_; ///< by service and customer
};

} // namespace bench
