#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include <base/Millis.h>
#include <details/HomeRecord.h>
#include <details/SerialBits.h>
#include <once/HomeEvent.h>
#include <once/HomeSettings.h>
#include <once/Key.h>
#include <once/Outcome.h>

namespace once::details {

/** The records of a home, within its memory limits. */
class HomeTable
{
public:
    explicit HomeTable(const HomeSettings &settings);

    /** Allocates the serial of a new key. */
    std::uint64_t issueSerial() { return serials_.issue(); }

    /**
     * Finds the record of a key or creates one on its first use; otherwise returns the immediate
     * outcome for the caller. The key must have been verified.
     */
    std::variant<RecordId, NotRun, Unknown> findOrCreate(const Request &request, base::Millis now);

    /** The record, or nullptr. */
    HomeRecord *find(RecordId id);

    /** Removes a record; its key remains marked as used. */
    void erase(RecordId id);

    /** Removes a record and marks its key as never to be run. */
    void burn(RecordId id);

    /** Retains the answer if there is room for it; otherwise only the fact that it ran. */
    void finish(RecordId id, HomeRecord &record, AnswerPtr answer, base::Millis now);

    /** Records that the outcome is unknown. */
    void resolve(RecordId id, HomeRecord &record, Reason reason, base::Millis now);

    /** Removes the keys of an ended call and returns the ids of their records. */
    std::vector<RecordId> endContext(const std::string &context);

    std::size_t size() const { return records_.size(); }
    std::size_t answerBytes() const { return answerBytes_; }

private:
    using LookupResult = std::variant<RecordId, NotRun, Unknown>;
    LookupResult findIssued(const Request &request, const Key &key, base::Millis now);
    LookupResult findInContext(const Request &request, const ContextKey &key, base::Millis now);
    LookupResult createRecord(RecordId id, const Request &request, base::Millis expiry,
                              base::Millis now);
    bool hasRoom(base::Millis now);
    LookupResult outcomeWithoutRecord(RecordId id, base::Millis expiry, base::Millis now) const;
    void evictDecided(std::size_t maxRecords, std::size_t maxBytes, base::Millis now);

    HomeSettings settings_;
    SerialBits serials_;
    std::unordered_map<RecordId, HomeRecord> records_;
    std::unordered_map<std::string, std::unordered_map<std::string, RecordId>> contexts_;
    std::size_t contextKeys_ = 0;
    std::deque<std::pair<base::Millis, RecordId>> decided_; ///< in order of time
    std::size_t answerBytes_ = 0;
};

} // namespace once::details
