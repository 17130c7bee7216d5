#include "DrainLog.h"

#include <algorithm>
#include <string>

#include <events/Catalogue.h>
#include <events/Log.h>

namespace dock::details {

namespace {

constexpr std::size_t maxLines = 50;

std::string textOf(const OpenRequest &request, base::Millis now)
{
    const auto &call = request.call_;
    return "request=" + call.requestId_ + " class=" + call.class_.name_
           + " service=" + call.service_ + " child=" + (call.isChild() ? "yes" : "no")
           + " at=" + (request.executor_.empty() ? "none" : request.executor_)
           + " age=" + std::to_string((now - call.receivedAt_).count()) + "ms"
           + " timeLeft=" + std::to_string((call.deadline_ - now).count()) + "ms";
}

} // namespace

void logRequestsLeft(const std::vector<OpenRequest> &requests, base::Millis now)
{
    const auto written = std::min(requests.size(), maxLines);
    for (std::size_t i = 0; i < written; ++i) {
        auto text = textOf(requests[i], now);
        if (i + 1 == written && written < requests.size())
            text += " dropped=" + std::to_string(requests.size() - written);
        events::log(events::requestLeft, text);
    }
}

} // namespace dock::details
