#include <LogServer.h>

#include <charconv>
#include <string_view>

#include <Json.h>
#include <base/Clock.h>
#include <bench/RequestTarget.h>
#include <net/Reactor.h>

namespace bench {

namespace {

constexpr std::string_view streamsPrefix = "/streams/";
constexpr std::size_t defaultMaxRecords = 1000;
constexpr std::int64_t expiryIntervalMs = 1000;

std::uint64_t queryNumberOr(const RequestTarget &target, const std::string &name,
                            std::uint64_t fallback)
{
    const auto found = target.query_.find(name);
    if (found == target.query_.end()) {
        return fallback;
    }
    const std::string &text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), fallback);
    return fallback;
}

bool isUtf8(const std::string &data)
{
    try {
        return !nlohmann::json(data).dump().empty();
    } catch (const nlohmann::json::exception &) {
        return false; // dump() rejects text that is not UTF-8
    }
}

} // namespace

base::Result<std::unique_ptr<LogServer>> LogServer::start(net::Reactor &reactor,
                                                          const LogOptions &options)
{
    std::unique_ptr<LogServer> log(new LogServer(reactor, options));
    LogServer *self = log.get();
    auto server =
            net::HttpServer::start(reactor, net::HttpServerOptions{.listen_ = options.listen_},
                                   [self](net::ExchangeId id, const net::HttpRequest &request) {
                                       self->handle(id, request);
                                   });
    if (!server) {
        return tl::unexpected(server.error());
    }
    log->server_ = std::move(*server);
    log->expirePeriodically();
    return log;
}

LogServer::LogServer(net::Reactor &reactor, const LogOptions &options)
    : reactor_(reactor)
    , store_(options.retention_)
    , limiter_(options.maxAppendsPerSecond_)
{}

void LogServer::handle(net::ExchangeId id, const net::HttpRequest &request)
{
    if (request.target_ == "/stats") {
        server_->respond(id, stats());
    } else if (request.target_ == "/faults" && request.method_ == "PUT") {
        server_->respond(id, changeFaults(request.body_));
    } else if (!request.target_.starts_with(streamsPrefix)) {
        server_->respond(id, jsonResponse(404, {{"error", "no such resource"}}));
    } else if (!faults_.silent_) {
        handleStream(id, request);
    }
}

void LogServer::handleStream(net::ExchangeId id, const net::HttpRequest &request)
{
    const std::string stream =
            RequestTarget::parse(request.target_).path_.substr(streamsPrefix.size());
    if (faults_.down_) {
        respondAfterDelay(id, jsonResponse(503, {{"error", "log is down"}}));
    } else if (request.method_ == "POST") {
        append(id, stream, request.body_);
    } else if (request.method_ == "GET") {
        respondAfterDelay(id, read(stream, request.target_));
    } else {
        respondAfterDelay(id, jsonResponse(405, {{"error", "use GET or POST"}}));
    }
}

void LogServer::respondAfterDelay(net::ExchangeId id, net::HttpResponse response)
{
    if (faults_.delay_ == base::Millis(0)) {
        server_->respond(id, std::move(response));
        return;
    }
    reactor_.schedule(faults_.delay_, [this, id, response = std::move(response)] {
        server_->respond(id, response);
    });
}

void LogServer::append(net::ExchangeId id, const std::string &stream, const std::string &data)
{
    if (!isUtf8(data)) {
        respondAfterDelay(id, jsonResponse(400, {{"error", "a record must be UTF-8 text"}}));
        return;
    }
    const base::Millis now = base::monotonicNow();
    if (!limiter_.tryTake(now)) {
        ++refusedAppends_;
        respondAfterDelay(id, jsonResponse(429, {{"error", "too many appends"}}));
        return;
    }
    ++appends_;
    const std::uint64_t offset = store_.append(stream, data, now);
    if (faults_.loseAppendAnswers_ > 0) {
        --faults_.loseAppendAnswers_;
        return;
    }
    respondAfterDelay(id, jsonResponse(200, {{"offset", offset}}));
}

net::HttpResponse LogServer::read(const std::string &stream, const std::string &target)
{
    ++reads_;
    const RequestTarget query = RequestTarget::parse(target);
    const LogPage page = store_.read(stream, queryNumberOr(query, "from", 0),
                                     queryNumberOr(query, "max", defaultMaxRecords));
    nlohmann::json body = {{"first", page.firstOffset_}, {"next", page.nextOffset_}};
    if (page.trimmed_) {
        return jsonResponse(410, body);
    }
    body["records"] = nlohmann::json::array();
    for (const LogRecord &record : page.records_) {
        body["records"].push_back({{"offset", record.offset_}, {"data", record.data_}});
    }
    return jsonResponse(200, body);
}

net::HttpResponse LogServer::changeFaults(const std::string &text)
{
    const nlohmann::json body = parseJson(text);
    if (!body.is_object()) {
        return jsonResponse(400, {{"error", "expected a JSON object"}});
    }
    try {
        faults_.down_ = body.value("down", faults_.down_);
        faults_.silent_ = body.value("silent", faults_.silent_);
        faults_.delay_ = base::Millis(body.value("delayMs", faults_.delay_.count()));
        faults_.loseAppendAnswers_ = body.value("loseAppendAnswers", faults_.loseAppendAnswers_);
        const nlohmann::json trims = body.value("trim", nlohmann::json::object());
        for (const auto &[stream, first] : trims.items()) {
            store_.trim(stream, first.get<std::uint64_t>());
        }
    } catch (const nlohmann::json::exception &error) {
        return jsonResponse(400, {{"error", error.what()}});
    }
    return jsonResponse(200, nlohmann::json::object());
}

net::HttpResponse LogServer::stats() const
{
    return jsonResponse(
            200, {{"appends", appends_}, {"refusedAppends", refusedAppends_}, {"reads", reads_}});
}

void LogServer::expirePeriodically()
{
    store_.expire(base::monotonicNow());
    reactor_.schedule(base::Millis(expiryIntervalMs), [this] { expirePeriodically(); });
}

} // namespace bench
