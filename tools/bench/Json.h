#pragma once

#include <nlohmann/json.hpp>

#include <net/HttpResponse.h>

namespace bench {

/** Answer with a JSON body. */
net::HttpResponse jsonResponse(int status, const nlohmann::json &body);

/** Parses text; discarded (is_discarded()) when it is not JSON. */
nlohmann::json parseJson(const std::string &text);

} // namespace bench
