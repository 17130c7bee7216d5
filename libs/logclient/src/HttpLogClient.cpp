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
constexpr std::size_t maxAnswerBytes = 20 * 1024 * 1024;

LogError failed(const net::Failure &failure)
{
    if (failure.kind_ == net::FailureKind::NotSent)
        return Unavailable{failure.detail_};
    return NoAnswer{failure.detail_};
}

/** A server error may come after the effect; a client error comes before it. */
LogError refused(int status)
{
    const auto detail = "the log answered with status " + std::to_string(status);
    if (status >= firstServerError)
        return NoAnswer{detail};
    return Unavailable{detail};
}

std::optional<std::uint64_t> unsignedField(const json &value, const char *name)
{
    if (!value.is_object())
        return std::nullopt;
    const auto it = value.find(name);
    if (it == value.end() || !it->is_number_unsigned())
        return std::nullopt;
    return it->get<std::uint64_t>();
}

json parsed(const net::HttpResponse &answer)
{
    return json::parse(answer.body_, nullptr, false);
}

std::optional<LogRecord> recordOf(const json &value)
{
    const auto offset = unsignedField(value, "offset");
    if (!offset || !value.contains("data") || !value.at("data").is_string())
        return std::nullopt;
    return LogRecord{*offset, value.at("data").get<std::string>()};
}

std::optional<LogPage> pageOf(const json &value, std::uint64_t from)
{
    const auto first = unsignedField(value, "first");
    const auto next = unsignedField(value, "next");
    if (!first || !next || !value.contains("records") || !value.at("records").is_array())
        return std::nullopt;
    LogPage page{{}, *first, *next};
    std::uint64_t expected = from;
    for (const auto &entry : value.at("records")) {
        auto record = recordOf(entry);
        // Offsets out of order would be folded in different orders by different daemons.
        if (!record || record->offset_ < expected || record->offset_ >= *next)
            return std::nullopt;
        expected = record->offset_ + 1;
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
                    [](const NoAnswer &e) { return "no answer from the log: " + e.detail_; },
                    [](const Trimmed &e) {
                        return "log trimmed up to offset " + std::to_string(e.first_);
                    },
            },
            error);
}

AppendResult appendResult(const net::CallResult &answer)
{
    if (!answer)
        return tl::unexpected(failed(answer.error()));
    if (answer->status_ != statusOk)
        return tl::unexpected(refused(answer->status_));
    if (const auto offset = unsignedField(parsed(*answer), "offset"))
        return *offset;
    return tl::unexpected(LogError(NoAnswer{"the answer to an append names no offset"}));
}

ReadResult readResult(const net::CallResult &answer, std::uint64_t from)
{
    if (!answer)
        return tl::unexpected(failed(answer.error()));
    if (answer->status_ != statusOk && answer->status_ != statusGone)
        return tl::unexpected(refused(answer->status_));
    const auto body = parsed(*answer);
    if (answer->status_ == statusGone) {
        const auto first = unsignedField(body, "first");
        const auto next = unsignedField(body, "next");
        if (first && next)
            return tl::unexpected(LogError(Trimmed{*first, *next}));
    } else if (auto page = pageOf(body, from)) {
        return std::move(*page);
    }
    return tl::unexpected(LogError(NoAnswer{"the answer to a read is not as agreed"}));
}

HttpLogClient::HttpLogClient(net::Reactor &reactor, model::Address log, base::Millis timeout)
    : client_(reactor, {.maxBodyBytes_ = maxAnswerBytes})
    , log_(std::move(log))
    , timeout_(timeout)
{}

HttpLogClient::~HttpLogClient() = default;

void HttpLogClient::append(const std::string &stream, std::string data, AppendDone done)
{
    net::HttpRequest request{"POST", "/streams/" + stream, {}, std::move(data)};
    client_.send(log_, std::move(request), timeout_,
                 [done = std::move(done)](const net::CallResult &answer) {
                     done(appendResult(answer));
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
                 [from, done = std::move(done)](const net::CallResult &answer) {
                     done(readResult(answer, from));
                 });
}

} // namespace logclient
