#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <Fault.h>
#include <History.h>
#include <once/Outcome.h>

/** Input of one run of the matrix. */
struct Scenario
{
    std::vector<Cell> plan_;
    std::uint64_t seed_ = 1;
    std::uint32_t budget_ = 3;
    double randomFaultProbability_ = 0; ///< at each step
    std::size_t callers_ = 1;
    bool isMemoryTight_ = false;    ///< daemons can retain only one or two records
    bool isOverloaded_ = false;     ///< instances receive twice their capacity, of a worse rank
    bool isKeyWithdrawn_ = false;   ///< one customer's key is withdrawn while requests come with it
    bool isAllowanceShort_ = false; ///< one customer asks for more than its allowance
};

/** Result of a run. */
struct RunResult
{
    History history_;
    std::size_t injectedFaults_ = 0;      ///< planned faults that were injected
    std::vector<once::Outcome> outcomes_; ///< received by the first caller, in order
    std::vector<std::string> violations_; ///< guarantees that were violated
};

/**
 * Runs the requests of the callers through two hops. Each request has one key and is repeated
 * through different daemons until its caller receives the outcome, and again after the key has
 * expired.
 */
RunResult runScenario(const Scenario &scenario);
