#include <dock/BackendApi.h>

#include <dock/CallerAnswer.h>
#include <dock/Entry.h>
#include <dock/Executor.h>
#include <dock/HeaderNames.h>
#include <nlohmann/json.hpp>

namespace dock {

namespace {

using nlohmann::json;

const std::string backendPath = "/.fuchsiadock/backend";
const std::string loadPath = "/.fuchsiadock/backend/load";
const std::string keysPath = "/.fuchsiadock/keys";
constexpr std::size_t maxKeysPerRequest = 100;
constexpr std::int64_t maxSlots = 100'000;
constexpr std::int64_t maxPort = 65'535;

net::HttpResponse jsonResponse(int status, const json &body)
{
    return {.status_ = status,
            .headers_ = {{"Content-Type", "application/json"}},
            .body_ = body.dump() + "\n"};
}

net::HttpResponse invalidField(const std::string &field, const std::string &problem)
{
    return jsonResponse(statusBadRequest, {{"error", "'" + field + "' " + problem}});
}

/** JSON object in the body; a discarded value if the body is not one. */
json parseObject(const net::HttpRequest &request)
{
    auto body = json::parse(request.body_, nullptr, false);
    return body.is_object() ? body : json(json::value_t::discarded);
}

std::int64_t integerField(const json &body, const char *field)
{
    const auto found = body.find(field);
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : -1;
}

std::string stringField(const json &body, const char *field)
{
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

BackendApi::BackendApi(Executor &executor, Entry &entry, std::string backendHost)
    : executor_(executor)
    , entry_(entry)
    , backendHost_(std::move(backendHost))
{}

std::optional<net::HttpResponse> BackendApi::answer(const net::HttpRequest &request)
{
    if (!request.target_.starts_with("/.fuchsiadock/"))
        return std::nullopt;
    if (request.method_ == "PUT" && request.target_ == backendPath)
        return announce(request);
    if (request.method_ == "PUT" && request.target_ == loadPath)
        return reportLoad(request);
    if (request.method_ == "DELETE" && request.target_ == backendPath) {
        executor_.backendLeft();
        return jsonResponse(200, {{"running", executor_.activeCount()}});
    }
    if (request.method_ == "POST" && request.target_ == keysPath)
        return issueKeys(request);
    return jsonResponse(statusNotFound, {{"error", "no such operation"}});
}

net::HttpResponse BackendApi::announce(const net::HttpRequest &request)
{
    const auto body = parseObject(request);
    if (body.is_discarded())
        return invalidField("body", "must be a JSON object");
    BackendServer backend;
    backend.service_ = stringField(body, "service");
    if (backend.service_.empty())
        return invalidField("service", "must be a non-empty string");
    const auto port = integerField(body, "port");
    if (port < 1 || port > maxPort)
        return invalidField("port", "must be an integer from 1 to 65535");
    const auto slots = integerField(body, "slots");
    if (slots < 1 || slots > maxSlots)
        return invalidField("slots", "must be an integer from 1 to 100000");
    backend.address_ = {backendHost_, static_cast<std::uint16_t>(port)};
    backend.slots_ = static_cast<std::uint32_t>(slots);
    if (const auto connections = integerField(body, "connections"); connections > 0)
        backend.connections_ = static_cast<std::uint32_t>(std::min(connections, maxSlots));
    executor_.announce(backend);
    return jsonResponse(200, {{"accepted", true}});
}

net::HttpResponse BackendApi::reportLoad(const net::HttpRequest &request)
{
    const auto body = parseObject(request);
    const auto load = body.is_object() ? body.find("load") : body.end();
    if (!body.is_object() || load == body.end() || !load->is_number())
        return invalidField("load", "must be a number from 0 (idle) to 1 (full)");
    executor_.reportLoad(std::clamp(load->get<double>(), 0.0, 1.0));
    return jsonResponse(200, {{"accepted", true}});
}

net::HttpResponse BackendApi::issueKeys(const net::HttpRequest &request)
{
    const auto body = parseObject(request);
    if (body.is_discarded())
        return invalidField("body", "must be a JSON object");
    const auto service = stringField(body, "service");
    if (service.empty())
        return invalidField("service", "must be a non-empty string");
    const auto count = integerField(body, "count");
    if (count < 1 || count > static_cast<std::int64_t>(maxKeysPerRequest))
        return invalidField("count", "must be an integer from 1 to 100");
    const std::string customer(net::headerValue(request.headers_, header::customer));
    const auto keys = entry_.issueKeys(customer, service, static_cast<std::size_t>(count));
    if (keys.empty())
        return refusal(statusUnavailable, "draining");
    return jsonResponse(200, {{"keys", keys}});
}

} // namespace dock
