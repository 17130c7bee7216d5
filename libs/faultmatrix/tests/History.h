#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <once/Outcome.h>

/** What happened in one run of the matrix, as an outside observer sees it. */
struct History
{
    /** One request by the name of its key: who ran it, and what its callers were told. */
    struct Request
    {
        std::size_t runs_ = 0;
        std::vector<once::Outcome> told_;
    };

    std::map<std::string, Request> requests_;
    std::uint64_t firstCalls_ = 0;
    std::uint64_t attempts_ = 0;
    std::vector<std::string> faults_; ///< broken promises that are seen at once
};
