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

/** Prefetched idempotency keys of a caller, by service and customer. */
class KeyStore
{
public:
    explicit KeyStore(net::HttpClient &client);

    /** Takes a key if one is available; refills from the daemon when few are left. */
    std::optional<std::string> take(const RequestClass &requestClass, const model::Address &daemon);

    /** Adds a key that was received in an answer. */
    void add(const RequestClass &requestClass, std::string key);

private:
    struct KeyPool
    {
        std::deque<std::string> keys_;
        bool isFetching_ = false;
    };

    void fetch(const RequestClass &requestClass, const model::Address &daemon, KeyPool &pool);

    net::HttpClient &client_;
    std::map<std::string, KeyPool> pools_; ///< by service and customer
};

} // namespace bench
