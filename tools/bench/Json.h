#pragma once

#include <nlohmann/json.hpp>

#include <net/HttpResponse.h>

namespace bench {

/** HTTP response with a JSON body. */
net::HttpResponse jsonResponse(int status, const nlohmann::json &body);

/** Parses JSON text; the value is discarded (is_discarded()) if the text is not valid. */
nlohmann::json parseJson(const std::string &text);

} // namespace bench
