#pragma once

#include <cstddef>
#include <string>

#include <base/Millis.h>

namespace bench {

/** One class of requests that the load generator sends. */
struct RequestClass
{
    std::string name_;
    std::string service_;
    std::string method_ = "GET";
    std::string path_ = "/";
    std::string customer_;
    double weight_ = 1.0;
    std::size_t bodyBytes_ = 0;
    std::size_t answerBytes_ = 256;
    base::Millis deadline_ = base::Millis(1000);
    bool idempotent_ = true;
    bool protected_ = false; ///< its goodput under overload is compared with the capacity

    bool operator==(const RequestClass &) const = default;
};

} // namespace bench
