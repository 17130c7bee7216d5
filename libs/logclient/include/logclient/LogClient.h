#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <logclient/ReadResult.h>

namespace logclient {

using AppendDone = std::function<void(AppendResult)>;
using ReadDone = std::function<void(ReadResult)>;

/**
 * Interface to the platform's append-only log; each log service has an implementation.
 *
 * Callbacks run once, on the reactor's thread, never inside the call; none runs after destruction.
 */
class LogClient
{
public:
    virtual ~LogClient() = default;

    /** Appends one record. */
    virtual void append(const std::string &stream, std::string data, AppendDone done) = 0;

    /** Reads at most `max` records from an offset on. */
    virtual void read(const std::string &stream, std::uint64_t from, std::size_t max,
                      ReadDone done) = 0;
};

} // namespace logclient
