#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <Fault.h>
#include <History.h>
#include <once/Outcome.h>

/** What one run of the matrix starts with. */
struct Scenario
{
    std::vector<Cell> plan_;
    std::uint64_t seed_ = 1;
    std::uint32_t budget_ = 3;
    double chaos_ = 0; ///< chance of a random fault at each step
    std::size_t callers_ = 1;
    bool isMemoryTight_ = false; ///< daemons can keep hardly anything
    bool isOverloaded_ = false;  ///< the instances get twice what they can do, of a worse rank
};

/** What came of a run. */
struct RunResult
{
    History history_;
    std::size_t fired_ = 0;           ///< cells that took place
    std::vector<once::Outcome> told_; ///< the first caller, in order
    std::vector<std::string> broken_; ///< promises not kept
};

/**
 * Runs the requests of some callers through two hops, each under one key and repeated through other
 * daemons until its caller hears the outcome, and past the expiry of the key.
 */
RunResult runScenario(const Scenario &scenario);
