#pragma once

#include <string>
#include <vector>

#include "details/Context.h"
#include <net/CallResult.h>
#include <nlohmann/json.hpp>

namespace cli::details {

/** Parses the body as a JSON object; returns an empty object when it is anything else. */
nlohmann::json parseBody(const net::HttpResponse &answer);

/** The objects in a list field of the value; empty when there is no such list. */
std::vector<nlohmann::json> objectsIn(const nlohmann::json &value, const char *name);

/** Prints why a call failed or was refused, and returns the exit code. */
int reportFailure(const Context &context, const std::string &daemon, const net::CallResult &result);

} // namespace cli::details
