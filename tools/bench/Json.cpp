#include <Json.h>

namespace bench {

net::HttpResponse jsonResponse(int status, const nlohmann::json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

nlohmann::json parseJson(const std::string &text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace bench
