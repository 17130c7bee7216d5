#include "details/Publisher.h"

#include <note/Record.h>

namespace notesync::details {

namespace {
constexpr std::uint32_t appendBurst = 5;
constexpr base::Millis appendInterval(5000);
constexpr std::size_t maxWaiting = 64;
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
        outcome.reason_ = "another note has the id \"" + noteId + "\"; choose a new one";
    }
    return outcome;
}

Publisher::Publisher(base::Millis timeout)
    : timeout_(timeout)
    , appends_(appendBurst, appendInterval)
{}

std::vector<Command> Publisher::start(const PublishRequested &request, const note::State *state,
                                      base::Millis now)
{
    const auto digest = note::digestOf(request.note_);
    const auto refuse = [&](const char *reason) {
        return std::vector<Command>{FinishPublish{request.requestId_, NotPublished{reason}}};
    };
    if (state == nullptr)
        return refuse("this daemon has no configuration yet; repeat it later");
    if (const auto outcome = outcomeOf(*state, request.note_.id_, digest))
        return {FinishPublish{request.requestId_, Decided{*outcome}}};
    if (waiting_.size() >= maxWaiting || !appends_.take(now))
        return refuse("too many notes are being published here; repeat it in a few seconds");
    waiting_.emplace(request.requestId_, Waiting{request.note_.id_, digest, now + timeout_});
    return {AppendRecord{request.requestId_, note::encodeRecord(request.note_)}};
}

std::vector<Command> Publisher::appended(const AppendCompleted &event)
{
    if (event.result_ || !std::holds_alternative<logclient::Unavailable>(event.result_.error()))
        return {};
    if (waiting_.erase(event.requestId_) == 0)
        return {};
    return {FinishPublish{event.requestId_, NotPublished{logclient::text(event.result_.error())
                                                         + "; repeat it later"}}};
}

std::vector<Command> Publisher::settle(const note::State *state, base::Millis now)
{
    std::vector<Command> done;
    for (const auto &[requestId, waiting] : waiting_) {
        const auto outcome = state != nullptr
                                     ? outcomeOf(*state, waiting.noteId_, waiting.contentDigest_)
                                     : std::nullopt;
        if (outcome)
            done.emplace_back(FinishPublish{requestId, Decided{*outcome}});
        else if (now >= waiting.deadline_)
            done.emplace_back(FinishPublish{
                    requestId, NotKnown{"no outcome yet; repeat it, which is safe, or ask for its "
                                        "status"}});
    }
    for (const auto &command : done)
        waiting_.erase(std::get<FinishPublish>(command).requestId_);
    return done;
}

} // namespace notesync::details
