#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include <base/Error.h>
#include <base/Mac.h>
#include <retry/RunningCall.h>

namespace retry {

/**
 * Calls in progress at the backend server beside this daemon, by context token.
 *
 * Tokens are opaque, unguessable and not valid at other daemons. Not thread-safe.
 */
class ContextTable
{
public:
    /** Maximum depth of a call chain; deeper calls are refused as not run. */
    static constexpr std::uint32_t maxDepth = 32;

    /** The secret must be random; at most maxCalls contexts are open at once. */
    explicit ContextTable(std::string_view secret, std::size_t maxCalls = 65'536);

    /** Opens a context and returns its token; errors: "too-deep", "too-many-calls". */
    base::Result<std::string> open(RunningCall call);

    /** The running call, or nullptr if the token is invalid or its context closed. */
    const RunningCall *find(std::string_view token) const;

    /** The budget of the running call, or nullptr. */
    ChainBudget *budget(std::string_view token);

    /** Records that the running call makes a call. */
    void recordCallStarted(std::string_view token);

    /** Counts calls that the running call has completed. */
    void recordCompletedCalls(std::string_view token, std::uint32_t calls);

    /** Closes a context and returns its remaining extra attempts, to be reported to the caller. */
    std::uint32_t close(std::string_view token);

    std::size_t size() const { return calls_.size(); }

private:
    base::Mac mac_;
    std::size_t maxCalls_ = 0;
    std::uint64_t nextTokenNumber_ = 1;
    std::unordered_map<std::string, RunningCall> calls_;
};

} // namespace retry
