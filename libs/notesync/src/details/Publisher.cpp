#include "details/Publisher.h"

#include <note/Record.h>

namespace notesync::details {

namespace {
constexpr std::uint32_t appendBurst = 5;
constexpr base::Millis appendInterval(5000);
constexpr std::size_t maxPendingRequests = 64;
} // namespace

std::optional<note::Outcome> outcomeOf(const note::State &state, const std::string &noteId,
                                       const std::string &contentDigest)
{
    const auto it = state.outcomes_.find(noteId);
    if (it == state.outcomes_.end())
        return std::nullopt;
    auto outcome = it->second;
    if (outcome.contentDigest_ != contentDigest) {
        outcome.accepted_ = false;
        outcome.reason_ = "the id \"" + noteId + "\" is used by another note; choose a new id";
    }
    return outcome;
}

Publisher::Publisher(base::Millis timeout)
    : timeout_(timeout)
    , appendBucket_(appendBurst, appendInterval)
{}

std::vector<Command> Publisher::start(const PublishRequested &request, const note::State *state,
                                      base::Millis now)
{
    const auto digest = note::digestOf(request.note_);
    const auto notPublished = [&](const char *reason) {
        return std::vector<Command>{FinishPublish{request.requestId_, NotPublished{reason}}};
    };
    if (state == nullptr)
        return notPublished("this daemon has no configuration yet; publish the note again later");
    if (const auto outcome = outcomeOf(*state, request.note_.id_, digest))
        return {FinishPublish{request.requestId_, Decided{*outcome}}};
    if (pendingRequests_.size() >= maxPendingRequests || !appendBucket_.take(now))
        return notPublished("too many publish requests at this daemon; publish the note again in a "
                            "few seconds");
    pendingRequests_.emplace(request.requestId_,
                             PendingRequest{request.note_.id_, digest, now + timeout_});
    return {AppendRecord{request.requestId_, note::encodeRecord(request.note_)}};
}

std::vector<Command> Publisher::onAppendCompleted(const AppendCompleted &event)
{
    if (event.result_ || !std::holds_alternative<logclient::Unavailable>(event.result_.error()))
        return {};
    if (pendingRequests_.erase(event.requestId_) == 0)
        return {};
    return {FinishPublish{event.requestId_, NotPublished{logclient::text(event.result_.error())
                                                         + "; publish the note again later"}}};
}

std::vector<Command> Publisher::completeRequests(const note::State *state, base::Millis now)
{
    std::vector<Command> completed;
    for (const auto &[requestId, pending] : pendingRequests_) {
        const auto outcome = state != nullptr
                                     ? outcomeOf(*state, pending.noteId_, pending.contentDigest_)
                                     : std::nullopt;
        if (outcome)
            completed.emplace_back(FinishPublish{requestId, Decided{*outcome}});
        else if (now >= pending.deadline_)
            completed.emplace_back(FinishPublish{
                    requestId,
                    OutcomeUnknown{"no outcome before the timeout; publish the same note "
                                   "again, which is safe, or query its status"}});
    }
    for (const auto &command : completed)
        pendingRequests_.erase(std::get<FinishPublish>(command).requestId_);
    return completed;
}

} // namespace notesync::details
