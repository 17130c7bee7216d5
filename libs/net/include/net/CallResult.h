#pragma once

#include <functional>

#include <net/Failure.h>
#include <net/HttpResponse.h>
#include <tl/expected.hpp>

namespace net {

/** The whole answer of a call, or how it failed. */
using CallResult = tl::expected<HttpResponse, Failure>;

/** Called once for each call, on the reactor's thread. */
using CallDone = std::function<void(CallResult)>;

} // namespace net
