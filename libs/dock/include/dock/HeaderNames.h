#pragma once

#include <string>

namespace dock::header {

// Used between callers or backend servers and a daemon.
inline const std::string idempotencyKey = "idempotency-key";
inline const std::string deadlineMs = "fuchsiadock-deadline-ms";
inline const std::string authorization = "authorization";
inline const std::string customer = "fuchsiadock-customer";
inline const std::string context = "fuchsiadock-context";
inline const std::string outcome = "fuchsiadock-outcome";
inline const std::string reason = "fuchsiadock-reason";
inline const std::string nextKey = "fuchsiadock-next-key";
inline const std::string retryAfter = "retry-after";

// Used between daemons only; removed from messages to callers and backend servers.
inline const std::string peerPrefix = "fd-";
inline const std::string kind = "fd-kind";
inline const std::string service = "fd-service";
inline const std::string requestClass = "fd-class";
inline const std::string peerCustomer = "fd-customer";
inline const std::string priority = "fd-priority";
inline const std::string timeLeftMicros = "fd-time-left-us";
inline const std::string budget = "fd-budget";
inline const std::string depth = "fd-depth";
inline const std::string repeat = "fd-repeat"; ///< retry::RepeatKind; omitted if First
inline const std::string completedCalls = "fd-completed-calls"; ///< omitted if 0
inline const std::string subKey = "fd-sub-key";
inline const std::string settledBelow = "fd-settled-below";
inline const std::string level = "fd-level";
inline const std::string peerReason = "fd-reason";
inline const std::string retryAfterMs = "fd-retry-after-ms";
inline const std::string queueingMicros = "fd-queueing-us";
inline const std::string flags = "fd-flags";
inline const std::string load = "fd-load";             ///< balance::LoadReport
inline const std::string maxWaitMs = "fd-max-wait-ms"; ///< only of calls that may be handed back
inline const std::string partitionEnd = "fd-partition-end"; ///< of AllotterAnnouncement

} // namespace dock::header
