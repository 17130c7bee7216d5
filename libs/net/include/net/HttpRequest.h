#pragma once

#include <string>

#include <net/Header.h>

namespace net {

/** A complete request with its body. */
struct HttpRequest
{
    std::string method_ = "GET";
    std::string target_ = "/"; ///< path and query
    Headers headers_;
    std::string body_;

    bool operator==(const HttpRequest &) const = default;
};

} // namespace net
