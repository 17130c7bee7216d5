#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <once/Outcome.h>

/** Externally observable events of one run of the matrix. */
struct History
{
    /** One logical request: how often it ran, and the outcomes its callers received. */
    struct Request
    {
        std::size_t runs_ = 0;
        std::vector<once::Outcome> outcomes_;
    };

    std::map<std::string, Request> requests_;
    std::uint64_t firstCalls_ = 0;
    std::uint64_t attempts_ = 0;
    std::vector<std::string> violations_; ///< violated guarantees, detected during the run
};
