#pragma once

#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <logclient/TokenBucket.h>
#include <notesync/Command.h>

namespace notesync::details {

/** Publish requests pending until their note has an outcome. */
class Publisher
{
public:
    explicit Publisher(base::Millis timeout);

    /** Starts a request: completes it at once, or appends its note and keeps it pending. */
    std::vector<Command> start(const PublishRequested &request, const note::State *state,
                               base::Millis now);

    /** Completion of an append. A request stays pending if its append may have taken effect. */
    std::vector<Command> onAppendCompleted(const AppendCompleted &event);

    /** Completes the requests that have an outcome or have timed out. */
    std::vector<Command> completeRequests(const note::State *state, base::Millis now);

    bool hasPendingRequests() const { return !pendingRequests_.empty(); }

private:
    struct PendingRequest
    {
        std::string noteId_;
        std::string contentDigest_;
        base::Millis deadline_;
    };

    const base::Millis timeout_;
    logclient::TokenBucket appendBucket_;
    std::map<RequestId, PendingRequest> pendingRequests_;
};

/** Outcome of the note in the state, if any; rejected if it belongs to another note of that id. */
std::optional<note::Outcome> outcomeOf(const note::State &state, const std::string &noteId,
                                       const std::string &contentDigest);

} // namespace notesync::details
