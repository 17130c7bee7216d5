#include "BackendLog.h"

#include <utility>

#include <events/Catalogue.h>

namespace dock::details {

namespace {

const char *textOf(net::MatchedBy matchedBy)
{
    switch (matchedBy) {
    case net::MatchedBy::Id:
        return "id";
    case net::MatchedBy::NewConnection:
        return "new-connection";
    case net::MatchedBy::Order:
        break;
    }
    return "order";
}

} // namespace

BackendReply BackendReply::of(const net::CallResult &result)
{
    if (result)
        return {.status_ = result->status_, .matchedBy_ = result->matchedBy_};
    return {.cause_ = result.error().detail_};
}

void BackendLog::record(const std::string &requestId, const BackendReply &reply,
                        const once::Outcome &outcome, base::Millis now)
{
    if (std::holds_alternative<once::Complete>(outcome))
        return;
    const auto *notRun = std::get_if<once::NotRun>(&outcome);
    const std::string kind = notRun != nullptr ? "not-run" : "unknown";
    const std::string match = reply.status_ != 0 ? textOf(reply.matchedBy_) : "none";
    ++counts_[kind + "/" + match];
    if (!log_.admits(now))
        return;
    const auto reason =
            notRun != nullptr ? notRun->reason_ : std::get<once::Unknown>(outcome).reason_;
    auto detail = "request=" + requestId + " as=" + kind + "/"
                  + std::string(once::reasonText(reason)) + " match=" + match;
    if (reply.status_ != 0)
        detail += " status=" + std::to_string(reply.status_);
    else
        detail += " cause=\"" + reply.cause_ + "\"";
    log_.write(events::backendFailed, std::move(detail));
}

} // namespace dock::details
