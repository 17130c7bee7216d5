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
 * Calls that the backend server beside this daemon is working on, by their context token.
 *
 * Tokens are opaque, cannot be guessed, and are not valid at any other daemon. Not thread-safe.
 */
class ContextTable
{
public:
    /** Deepest call chain; a deeper call is refused as not run. */
    static constexpr std::uint32_t maxDepth = 32;

    /** The secret must be random; at most maxCalls are open at once. */
    explicit ContextTable(std::string_view secret, std::size_t maxCalls = 65'536);

    /** Opens a context and returns its token; fails with "too-deep" or "too-many-calls". */
    base::Result<std::string> open(RunningCall call);

    /** The running call, or nullptr when the token is not valid (any more). */
    const RunningCall *find(std::string_view token) const;

    /** The running call's budget, or nullptr. */
    ChainBudget *budget(std::string_view token);

    /** Ends a context and returns the extra attempts left, to be reported to the caller. */
    std::uint32_t close(std::string_view token);

    std::size_t size() const { return calls_.size(); }

private:
    base::Mac mac_;
    std::size_t maxCalls_ = 0;
    std::uint64_t next_ = 1;
    std::unordered_map<std::string, RunningCall> calls_;
};

} // namespace retry
