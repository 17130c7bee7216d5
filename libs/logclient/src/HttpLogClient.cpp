#include <logclient/HttpLogClient.h>

#include <optional>
#include <utility>

#include <base/Overloaded.h>
#include <net/Reactor.h>
#include <nlohmann/json.hpp>

namespace logclient {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int firstServerError = 500;
constexpr std::size_t maxResponseBytes = 20 * 1024 * 1024;

LogError failureError(const net::Failure &failure)
{
    if (failure.kind_ == net::FailureKind::NotSent)
        return Unavailable{failure.detail_};
    return NoAnswer{failure.detail_};
}

/** A server error may follow a request that took effect; a client error rules that out. */
LogError statusError(int status)
{
    const auto detail = "the log responded with status " + std::to_string(status);
    if (status >= firstServerError)
        return NoAnswer{detail};
    return Unavailable{detail};
}

std::optional<std::uint64_t> unsignedField(const json &value, const char *name)
{
    if (!value.is_object())
        return std::nullopt;
    const auto found = value.find(name);
    if (found == value.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

json parseBody(const net::HttpResponse &response)
{
    return json::parse(response.body_, nullptr, false);
}

std::optional<LogRecord> parseRecord(const json &value)
{
    const auto offset = unsignedField(value, "offset");
    if (!offset || !value.contains("data") || !value.at("data").is_string())
        return std::nullopt;
    return LogRecord{*offset, value.at("data").get<std::string>()};
}

std::optional<LogPage> parsePage(const json &value, std::uint64_t from)
{
    const auto first = unsignedField(value, "first");
    const auto next = unsignedField(value, "next");
    if (!first || !next || !value.contains("records") || !value.at("records").is_array())
        return std::nullopt;
    LogPage page{{}, *first, *next};
    std::uint64_t minOffset = from;
    for (const auto &entry : value.at("records")) {
        auto record = parseRecord(entry);
        // With offsets out of order, daemons would apply the records in different orders.
        if (!record || record->offset_ < minOffset || record->offset_ >= *next)
            return std::nullopt;
        minOffset = record->offset_ + 1;
        page.records_.push_back(std::move(*record));
    }
    return page;
}

} // namespace

std::string text(const LogError &error)
{
    return std::visit(
            base::Overloaded{
                    [](const Unavailable &e) { return "log unavailable: " + e.detail_; },
                    [](const NoAnswer &e) { return "no response from the log: " + e.detail_; },
                    [](const Trimmed &e) {
                        return "log trimmed up to offset " + std::to_string(e.first_);
                    },
            },
            error);
}

AppendResult parseAppendResponse(const net::CallResult &response)
{
    if (!response)
        return tl::unexpected(failureError(response.error()));
    if (response->status_ != statusOk)
        return tl::unexpected(statusError(response->status_));
    if (const auto offset = unsignedField(parseBody(*response), "offset"))
        return *offset;
    return tl::unexpected(LogError(NoAnswer{"append response has no offset"}));
}

ReadResult parseReadResponse(const net::CallResult &response, std::uint64_t from)
{
    if (!response)
        return tl::unexpected(failureError(response.error()));
    if (response->status_ != statusOk && response->status_ != statusGone)
        return tl::unexpected(statusError(response->status_));
    const auto body = parseBody(*response);
    if (response->status_ == statusGone) {
        const auto first = unsignedField(body, "first");
        const auto next = unsignedField(body, "next");
        if (first && next)
            return tl::unexpected(LogError(Trimmed{*first, *next}));
    } else if (auto page = parsePage(body, from)) {
        return std::move(*page);
    }
    return tl::unexpected(LogError(NoAnswer{"read response is malformed"}));
}

HttpLogClient::HttpLogClient(net::Reactor &reactor, model::Address log, base::Millis timeout)
    : client_(reactor, {.maxBodyBytes_ = maxResponseBytes})
    , log_(std::move(log))
    , timeout_(timeout)
{}

HttpLogClient::~HttpLogClient() = default;

void HttpLogClient::append(const std::string &stream, std::string data, AppendDone done)
{
    net::HttpRequest request{"POST", "/streams/" + stream, {}, std::move(data)};
    client_.send(log_, std::move(request), timeout_,
                 [done = std::move(done)](const net::CallResult &response) {
                     done(parseAppendResponse(response));
                 });
}

void HttpLogClient::read(const std::string &stream, std::uint64_t from, std::size_t max,
                         ReadDone done)
{
    net::HttpRequest request{"GET",
                             "/streams/" + stream + "?from=" + std::to_string(from)
                                     + "&max=" + std::to_string(max),
                             {},
                             ""};
    client_.send(log_, std::move(request), timeout_,
                 [from, done = std::move(done)](const net::CallResult &response) {
                     done(parseReadResponse(response, from));
                 });
}

} // namespace logclient
