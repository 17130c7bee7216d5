#pragma once

#include <functional>

#include <net/Failure.h>
#include <net/HttpResponse.h>
#include <tl/expected.hpp>

namespace net {

/** The complete response to a call, or the failure. */
using CallResult = tl::expected<HttpResponse, Failure>;

/** Completion callback, called once for each call on the reactor's thread. */
using CallDone = std::function<void(CallResult)>;

} // namespace net
