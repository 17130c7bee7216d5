#pragma once

#include <string>

#include <net/Header.h>

namespace net {

/** A whole answer with its body. */
struct HttpResponse
{
    int status_ = 200;
    Headers headers_;
    std::string body_;

    bool operator==(const HttpResponse &) const = default;
};

} // namespace net
