#pragma once

#include <string>
#include <vector>

#include "details/Context.h"
#include <net/CallResult.h>
#include <nlohmann/json.hpp>

namespace cli::details {

/** The JSON object of the body; an empty one when it is none. */
nlohmann::json bodyOf(const net::HttpResponse &answer);

/** The objects in a list of the value; none when there is no such list. */
std::vector<nlohmann::json> entriesOf(const nlohmann::json &value, const char *name);

/** Writes why a call failed or was refused, and returns the exit code. */
int reportFailure(const Context &context, const std::string &daemon, const net::CallResult &result);

} // namespace cli::details
