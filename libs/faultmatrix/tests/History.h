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
        std::string customer_;
        bool mustNotRun_ = false; ///< sent too long after its access key was withdrawn
        std::size_t runs_ = 0;
        std::vector<once::Outcome> outcomes_;
    };

    /** Adds the request of a caller, and the call that it leads to. */
    void add(const std::string &name, const std::string &customer, bool mustNotRun)
    {
        for (const auto *suffix : {"", "/debit"}) {
            auto &request = requests_[name + suffix];
            request.customer_ = customer;
            request.mustNotRun_ = mustNotRun;
        }
    }

    /** Adds a run at a backend server in the name of a customer. */
    void recordRun(const std::string &name, const std::string &customer)
    {
        auto &request = requests_[name];
        ++request.runs_;
        if (customer != request.customer_)
            violations_.push_back(name + " of " + request.customer_ + " ran as " + customer);
        if (request.mustNotRun_)
            violations_.push_back(name + " ran with a key that was withdrawn long before");
    }

    std::map<std::string, Request> requests_;
    std::uint64_t firstCalls_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t refusedByAllowance_ = 0;
    std::vector<std::string> violations_; ///< violated guarantees, detected during the run
};
