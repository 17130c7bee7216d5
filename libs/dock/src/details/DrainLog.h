#pragma once

#include <vector>

#include <base/Millis.h>
#include <dock/OpenRequest.h>

namespace dock::details {

/** Logs the requests that are open when a drain ends (E108), at most 50 of them. */
void logRequestsLeft(const std::vector<OpenRequest> &requests, base::Millis now);

} // namespace dock::details
