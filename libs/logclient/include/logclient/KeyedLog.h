#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <base/Millis.h>
#include <logclient/ConditionalAppend.h>
#include <logclient/KeyedPage.h>
#include <logclient/ReadResult.h>

namespace logclient {

using KeyedDone = std::function<void(KeyedResult)>;
using PutDone = std::function<void(AppendResult)>;
using ConditionalDone = std::function<void(ConditionalResult)>;

/**
 * A log with compacted topics, which retain the newest record of each key indefinitely.
 *
 * Callbacks run once, on the reactor's thread, never inside the call; none runs after destruction.
 */
class KeyedLog
{
public:
    virtual ~KeyedLog() = default;

    /** Reads the newest record of each key, in pages; `after` is the last key of the previous page.
     */
    virtual void readNewest(const std::string &topic, const std::string &after, KeyedDone done) = 0;

    /** Reads records from an offset on, waiting for the first one for at most `wait`. */
    virtual void readFrom(const std::string &topic, std::uint64_t from, base::Millis wait,
                          KeyedDone done) = 0;

    /** Writes the newest record of a key; an empty value deletes the key. */
    virtual void put(const std::string &topic, const std::string &key, const std::string &value,
                     PutDone done) = 0;

    /** Reads the records of a partition from an offset on that has one, without waiting. */
    virtual void readPartition(const std::string &topic, std::uint32_t partition,
                               std::uint64_t from, KeyedDone done) = 0;

    /** One append on the condition that a partition of an ordinary topic ends at an offset. */
    virtual void appendAt(const ConditionalAppend &append, ConditionalDone done) = 0;
};

} // namespace logclient
