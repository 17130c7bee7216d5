#pragma once

#include <string>

#include <net/Header.h>
#include <net/MatchedBy.h>

namespace net {

/** A whole answer with its body. */
struct HttpResponse
{
    int status_ = 200;
    Headers headers_;
    std::string body_;
    MatchedBy matchedBy_ = MatchedBy::Order; ///< of an answer received by HttpClient

    bool operator==(const HttpResponse &) const = default;
};

} // namespace net
