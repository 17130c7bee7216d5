#pragma once

#include <string>

#include <net/Header.h>
#include <net/MatchedBy.h>

namespace net {

/** A complete response with its body. */
struct HttpResponse
{
    int status_ = 200;
    Headers headers_;
    std::string body_;
    MatchedBy matchedBy_ = MatchedBy::Order; ///< set for responses received by HttpClient

    bool operator==(const HttpResponse &) const = default;
};

} // namespace net
