#pragma once

#include <optional>

#include <balance/LoadReport.h>
#include <base/Millis.h>

namespace admission {
class Core;
struct Priority;
} // namespace admission

namespace dock::details {

/** Load of the backend server; holding: mean time for which a request holds a slot. */
balance::LoadReport loadReportOf(const admission::Core &admission, base::Millis holding);

/** Whether a request would wait here for longer than maxWait behind those that go before it. */
bool isHandedBack(const admission::Core &admission, const admission::Priority &priority,
                  base::Millis holding, std::optional<base::Millis> maxWait);

} // namespace dock::details
