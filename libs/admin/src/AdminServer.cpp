#include <admin/AdminServer.h>

#include <optional>
#include <utility>

#include "Token.h"
#include "Views.h"
#include <base/Overloaded.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>
#include <note/Limits.h>
#include <note/Record.h>
#include <notesync/NoteService.h>

namespace admin {

namespace {

using net::HttpResponse;
using nlohmann::json;

constexpr std::uint32_t maxConnections = 64;
constexpr base::Millis idleTimeout(30000);
constexpr std::size_t maxIdBytesInMessage = 256;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusNotAllowed = 405;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

HttpResponse jsonTextResponse(int status, std::string text)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(text)};
}

HttpResponse jsonResponse(int status, const json &value)
{
    return jsonTextResponse(status,
                            value.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

HttpResponse errorResponse(int status, const char *code, const std::string &message)
{
    return jsonResponse(status, errorView(code, message));
}

HttpResponse noConfigResponse()
{
    return errorResponse(statusUnavailable, "no-config", "this daemon has no configuration yet");
}

HttpResponse publishResponse(const std::string &id, const notesync::PublishResult &result)
{
    return std::visit(
            base::Overloaded{
                    [&](const notesync::Decided &r) {
                        const int status = r.outcome_.accepted_ ? statusOk : statusConflict;
                        return jsonResponse(status, outcomeView(id, r.outcome_));
                    },
                    [](const notesync::NotPublished &r) {
                        return errorResponse(statusUnavailable, "not-published", r.reason_);
                    },
                    [](const notesync::OutcomeUnknown &r) {
                        return errorResponse(statusTimeout, "not-known", r.reason_);
                    },
            },
            result);
}

} // namespace

struct AdminServer::Impl : std::enable_shared_from_this<AdminServer::Impl>
{
    Impl(std::string token, notesync::NoteService &notes, AdminSources sources)
        : token_(std::move(token))
        , notes_(notes)
        , sources_(std::move(sources))
    {}

    void handle(net::ExchangeId exchange, const net::HttpRequest &request)
    {
        const auto path = request.target_.substr(0, request.target_.find('?'));
        if (!isAuthorized(request.headers_, token_)) {
            auto response =
                    errorResponse(statusUnauthorized, "unauthorized",
                                  "send the access token as \"Authorization: Bearer TOKEN\"");
            response.headers_.push_back({"WWW-Authenticate", "Bearer"});
            server_->respond(exchange, std::move(response));
        } else if (path == "/v1/notes" && request.method_ == "POST") {
            publish(exchange, request.body_);
        } else if (request.method_ != "GET") {
            server_->respond(exchange, errorResponse(statusNotAllowed, "not-allowed", "use GET"));
        } else {
            server_->respond(exchange, handleGet(path));
        }
    }

    void publish(net::ExchangeId exchange, const std::string &text)
    {
        const auto done = [weak = weak_from_this(), exchange](const std::string &id,
                                                              const auto &result) {
            if (const auto self = weak.lock())
                self->server_->respond(exchange, publishResponse(id, result));
        };
        const auto started = notes_.publish(text, done);
        if (!started)
            server_->respond(exchange, jsonResponse(statusBadRequest, faultsView(started.error())));
    }

    HttpResponse handleGet(const std::string &path) const
    {
        constexpr std::string_view notePrefix = "/v1/notes/";
        if (path == "/v1/notes")
            return showNotes();
        if (path.starts_with(notePrefix))
            return showNote(path.substr(notePrefix.size()));
        if (path == "/v1/state")
            return showState();
        if (path == "/v1/members")
            return jsonResponse(statusOk, membersView(*sources_.members_()));
        if (path == "/v1/status")
            return showStatus();
        if (path == "/v1/histograms")
            return jsonTextResponse(statusOk, sources_.histograms_());
        if (path == "/metrics")
            return {statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, sources_.metrics_()};
        return errorResponse(
                statusNotFound, "no-such-resource",
                "available: /v1/notes, /v1/notes/ID, /v1/state, /v1/members, /v1/status, "
                "/v1/histograms and /metrics");
    }

    HttpResponse showNotes() const
    {
        if (const auto *state = notes_.state())
            return jsonResponse(statusOk, notesView(*state));
        return noConfigResponse();
    }

    HttpResponse showState() const
    {
        if (const auto *state = notes_.state())
            return jsonTextResponse(statusOk, note::encodeState(*state));
        return noConfigResponse();
    }

    HttpResponse showNote(const std::string &id) const
    {
        const auto outcome = notes_.outcome(id);
        if (!outcome)
            return errorResponse(statusNotFound, "no-such-note",
                                 "no outcome of note \"" + id.substr(0, maxIdBytesInMessage)
                                         + "\" is stored on this daemon (revision "
                                         + std::to_string(notes_.revision()) + ")");
        auto view = outcomeView(id, *outcome);
        if (outcome->accepted_)
            view["inForce"] =
                    inForceView(outcome->revision_, *sources_.members_(), sources_.revisions_());
        return jsonResponse(statusOk, view);
    }

    HttpResponse showStatus() const
    {
        const auto daemon = json::parse(sources_.status_(), nullptr, false);
        return jsonResponse(statusOk, json{{"notes", syncView(notes_.status())},
                                           {"members", sources_.members_()->size()},
                                           {"daemon", daemon.is_discarded() ? json() : daemon}});
    }

    const std::string token_;
    notesync::NoteService &notes_;
    const AdminSources sources_;
    std::unique_ptr<net::HttpServer> server_;
};

base::Result<std::unique_ptr<AdminServer>> AdminServer::start(net::Reactor &reactor,
                                                              const AdminOptions &options,
                                                              notesync::NoteService &notes,
                                                              AdminSources sources)
{
    if (options.token_.empty())
        return base::fail("no-token", "the administration API requires an access token");
    auto impl = std::make_shared<Impl>(options.token_, notes, std::move(sources));
    net::HttpServerOptions server;
    server.listen_ = options.listen_;
    server.maxBodyBytes_ = note::limits::noteBytes;
    server.maxConnections_ = maxConnections;
    server.idleTimeout_ = idleTimeout;
    auto started = net::HttpServer::start(
            reactor, server,
            [raw = impl.get()](net::ExchangeId exchange, const net::HttpRequest &request) {
                raw->handle(exchange, request);
            });
    if (!started)
        return tl::unexpected(started.error());
    impl->server_ = std::move(*started);
    return std::unique_ptr<AdminServer>(new AdminServer(std::move(impl)));
}

AdminServer::AdminServer(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

AdminServer::~AdminServer() = default;

std::uint16_t AdminServer::port() const
{
    return impl_->server_->port();
}

} // namespace admin
