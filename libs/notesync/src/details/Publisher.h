#pragma once

#include <map>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <logclient/TokenBucket.h>
#include <notesync/Command.h>

namespace notesync::details {

/** Publish requests that wait for the outcome of their note. */
class Publisher
{
public:
    explicit Publisher(base::Millis timeout);

    /** Starts a request: answered at once, or appended and kept until its outcome is folded. */
    std::vector<Command> start(const PublishRequested &request, const note::State *state,
                               base::Millis now);

    /** End of an append. What may have taken effect goes on waiting. */
    std::vector<Command> appended(const AppendCompleted &event);

    /** Answers the requests whose outcome is known or whose time is over. */
    std::vector<Command> settle(const note::State *state, base::Millis now);

    bool isWaiting() const { return !waiting_.empty(); }

private:
    struct Waiting
    {
        std::string noteId_;
        std::string contentDigest_;
        base::Millis deadline_;
    };

    const base::Millis timeout_;
    logclient::TokenBucket appends_;
    std::map<RequestId, Waiting> waiting_;
};

/** The outcome of the note, if the state has one; another note of that id counts as rejected. */
std::optional<note::Outcome> outcomeOf(const note::State &state, const std::string &noteId,
                                       const std::string &contentDigest);

} // namespace notesync::details
