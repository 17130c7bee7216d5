#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace retry {

/**
 * Learns which request classes make calls while they run. A rerun of one that makes none costs one
 * arrival; any other one repeats its calls as well.
 *
 * Not thread-safe.
 */
class CallingClasses
{
public:
    /** Runs without a call after which a class is taken to make none. */
    static constexpr std::uint32_t minRuns = 16;

    /** Records a run that ended with success, or that has made calls. */
    void recordRun(std::string_view requestClass, bool hasMadeCalls);

    /** Whether a run of the class may make calls, which is assumed until enough runs are known. */
    bool mayMakeCalls(std::string_view requestClass) const;

private:
    static constexpr std::size_t maxClasses = 1024;

    struct Runs
    {
        std::uint32_t withoutCalls_ = 0; ///< at most minRuns
        bool haveMadeCalls_ = false;
    };

    std::map<std::string, Runs, std::less<>> classes_;
};

} // namespace retry
