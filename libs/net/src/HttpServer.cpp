#include <net/HttpServer.h>

#include <cstring>
#include <unordered_map>
#include <vector>

#include <ace/Event_Handler.h>
#include <arpa/inet.h>
#include <microhttpd.h>
#include <net/Reactor.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace net {

namespace {

/** How often suspended connections are checked for a caller that hung up. */
constexpr base::Millis hangUpCheckInterval(50);

/** How often libmicrohttpd gets a turn when no socket is ready, to expire idle connections. */
constexpr base::Millis idleRunInterval(1000);

/** Memory of one connection for its headers; libmicrohttpd clears all of it for each request. */
constexpr std::size_t connectionMemoryBytes = 32 * 1024;

/** A request between its first byte and the end of its answer. */
struct Exchange
{
    ExchangeId id_ = 0;
    MHD_Connection *connection_ = nullptr;
    int socket_ = -1;
    HttpRequest request_;
    std::optional<HttpResponse> response_;
    bool hasBegun_ = false; ///< its header fields were read
    bool isTooLarge_ = false;
    bool isSuspended_ = false;
    bool isHungUp_ = false;
};

MHD_Result addHeader(void *headers, MHD_ValueKind, const char *name, const char *value)
{
    static_cast<Headers *>(headers)->push_back({name, value != nullptr ? value : ""});
    return MHD_YES;
}

/** Fields that the server states itself. */
bool isManagedByServer(const std::string &name)
{
    return equalsIgnoringCase(name, "Content-Length")
           || equalsIgnoringCase(name, "Transfer-Encoding")
           || equalsIgnoringCase(name, "Connection") || equalsIgnoringCase(name, "Keep-Alive");
}

int connectionSocket(MHD_Connection *connection)
{
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info != nullptr ? info->connect_fd : -1;
}

} // namespace

struct HttpServer::Impl : ACE_Event_Handler
{
    explicit Impl(Reactor &reactor)
        : reactor_(reactor)
    {}

    Reactor &reactor_;
    MHD_Daemon *daemon_ = nullptr;
    int epoll_ = -1;
    std::size_t maxBodyBytes_ = 0;
    RequestHandler onRequest_;
    HangUpHandler onHangUp_;
    std::unordered_map<ExchangeId, Exchange *> waiting_;
    ExchangeId nextId_ = 1;
    TimerId hangUpTimer_ = 0;
    TimerId idleTimer_ = 0;
    bool isRunPending_ = false;
    bool isClosing_ = false; ///< connections end with the next answer

    int handle_input(ACE_HANDLE) override;
    void runDaemon();
    void runSoon();
    void checkHangUps();
    void checkHangUpsLater();
    void runWhenIdle();

    void begin(Exchange &exchange, MHD_Connection *connection, const char *method);
    void deliver(Exchange &exchange);
    MHD_Result reply(Exchange &exchange);
    void finish(Exchange *exchange);

    static void *targetRead(void *self, const char *target, MHD_Connection *connection);
    static MHD_Result access(void *self, MHD_Connection *connection, const char *url,
                             const char *method, const char *version, const char *data,
                             std::size_t *size, void **state);
    static void completed(void *self, MHD_Connection *connection, void **state,
                          MHD_RequestTerminationCode code);
};

int HttpServer::Impl::handle_input(ACE_HANDLE)
{
    runDaemon();
    return 0;
}

void HttpServer::Impl::runDaemon()
{
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    do {
        MHD_run(daemon_);
    } while (MHD_get_timeout(daemon_, &timeout) == MHD_YES && timeout == 0);
}

void HttpServer::Impl::runSoon()
{
    if (isRunPending_)
        return;
    isRunPending_ = true;
    reactor_.post([this] {
        isRunPending_ = false;
        runDaemon();
    });
}

void HttpServer::Impl::runWhenIdle()
{
    runDaemon();
    idleTimer_ = reactor_.schedule(idleRunInterval, [this] { runWhenIdle(); });
}

void HttpServer::Impl::checkHangUpsLater()
{
    if (hangUpTimer_ == 0 && !waiting_.empty())
        hangUpTimer_ = reactor_.schedule(hangUpCheckInterval, [this] { checkHangUps(); });
}

// libmicrohttpd does not watch the socket of a suspended connection.
void HttpServer::Impl::checkHangUps()
{
    std::vector<pollfd> sockets;
    std::vector<ExchangeId> ids;
    for (const auto &[id, exchange] : waiting_) {
        if (exchange->isHungUp_)
            continue;
        sockets.push_back({exchange->socket_, POLLRDHUP, 0});
        ids.push_back(id);
    }
    if (!sockets.empty() && ::poll(sockets.data(), sockets.size(), 0) > 0) {
        for (std::size_t i = 0; i < sockets.size(); ++i) {
            if ((sockets[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
                continue;
            if (const auto found = waiting_.find(ids[i]); found != waiting_.end()) {
                found->second->isHungUp_ = true;
                if (onHangUp_)
                    onHangUp_(ids[i]);
            }
        }
    }
    hangUpTimer_ = 0;
    checkHangUpsLater();
}

// Called with the target as the caller wrote it; what is returned is the state of the request.
void *HttpServer::Impl::targetRead(void *self, const char *target, MHD_Connection *)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->id_ = static_cast<Impl *>(self)->nextId_++;
    exchange->request_.target_ = target;
    return exchange.release();
}

void HttpServer::Impl::begin(Exchange &exchange, MHD_Connection *connection, const char *method)
{
    exchange.hasBegun_ = true;
    exchange.connection_ = connection;
    exchange.socket_ = connectionSocket(connection);
    exchange.request_.method_ = method;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &exchange.request_.headers_);
}

void HttpServer::Impl::deliver(Exchange &exchange)
{
    if (exchange.isTooLarge_) {
        exchange.response_ =
                HttpResponse{.status_ = 413, .body_ = "the body is larger than the limit\n"};
        return;
    }
    waiting_.emplace(exchange.id_, &exchange);
    onRequest_(exchange.id_, std::move(exchange.request_));
}

MHD_Result HttpServer::Impl::reply(Exchange &exchange)
{
    const auto &answer = *exchange.response_;
    // MHD copies the body, so the answer need not outlive this call.
    auto *response = MHD_create_response_from_buffer(
            answer.body_.size(), const_cast<char *>(answer.body_.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    for (const auto &[name, value] : answer.headers_) {
        if (!isManagedByServer(name))
            MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (isClosing_)
        MHD_add_response_header(response, "Connection", "close");
    const auto result = MHD_queue_response(exchange.connection_,
                                           static_cast<unsigned>(answer.status_), response);
    MHD_destroy_response(response);
    return result;
}

void HttpServer::Impl::finish(Exchange *exchange)
{
    if (waiting_.erase(exchange->id_) > 0 && !exchange->isHungUp_ && onHangUp_)
        onHangUp_(exchange->id_);
    delete exchange;
}

MHD_Result HttpServer::Impl::access(void *self, MHD_Connection *connection, const char *,
                                    const char *method, const char *, const char *data,
                                    std::size_t *size, void **state)
{
    auto &impl = *static_cast<Impl *>(self);
    auto &exchange = *static_cast<Exchange *>(*state);
    if (!exchange.hasBegun_) {
        impl.begin(exchange, connection, method);
        return MHD_YES;
    }
    if (*size > 0) {
        auto &body = exchange.request_.body_;
        if (body.size() + *size > impl.maxBodyBytes_)
            exchange.isTooLarge_ = true;
        else
            body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!exchange.response_)
        impl.deliver(exchange);
    if (exchange.response_)
        return impl.reply(exchange);
    exchange.isSuspended_ = true;
    MHD_suspend_connection(connection);
    impl.checkHangUpsLater();
    return MHD_YES;
}

void HttpServer::Impl::completed(void *self, MHD_Connection *, void **state,
                                 MHD_RequestTerminationCode)
{
    if (*state == nullptr)
        return;
    static_cast<Impl *>(self)->finish(static_cast<Exchange *>(*state));
    *state = nullptr;
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

base::Result<std::unique_ptr<HttpServer>> HttpServer::start(Reactor &reactor,
                                                            const HttpServerOptions &options,
                                                            RequestHandler onRequest,
                                                            HangUpHandler onHangUp)
{
    auto impl = std::make_unique<Impl>(reactor);
    impl->maxBodyBytes_ = options.maxBodyBytes_;
    impl->onRequest_ = std::move(onRequest);
    impl->onHangUp_ = std::move(onHangUp);

    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.listen_.port_);
    inet_pton(AF_INET, options.listen_.host_.c_str(), &address.sin_addr);
    const auto idleSeconds = static_cast<unsigned>(options.idleTimeout_.count() / 1000);
    impl->daemon_ = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, options.listen_.port_, nullptr, nullptr,
            &Impl::access, impl.get(), MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_CONNECTION_LIMIT,
            options.maxConnections_, MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes, MHD_OPTION_NOTIFY_COMPLETED,
            &Impl::completed, impl.get(), MHD_OPTION_URI_LOG_CALLBACK, &Impl::targetRead,
            impl.get(), MHD_OPTION_END);
    if (impl->daemon_ == nullptr)
        return base::fail("listen-failed", "cannot listen on " + options.listen_.text() + ": "
                                                   + std::strerror(errno));
    impl->epoll_ = MHD_get_daemon_info(impl->daemon_, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    reactor.watch(impl->epoll_, *impl, ACE_Event_Handler::READ_MASK);
    impl->idleTimer_ =
            reactor.schedule(idleRunInterval, [raw = impl.get()] { raw->runWhenIdle(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::~HttpServer()
{
    impl_->reactor_.cancel(impl_->hangUpTimer_);
    impl_->reactor_.cancel(impl_->idleTimer_);
    impl_->reactor_.unwatch(impl_->epoll_);
    impl_->onHangUp_ = {};
    for (const auto &[id, exchange] : impl_->waiting_) {
        if (exchange->isSuspended_)
            MHD_resume_connection(exchange->connection_);
    }
    MHD_stop_daemon(impl_->daemon_);
}

void HttpServer::respond(ExchangeId id, HttpResponse response)
{
    const auto found = impl_->waiting_.find(id);
    if (found == impl_->waiting_.end())
        return;
    auto &exchange = *found->second;
    impl_->waiting_.erase(found);
    exchange.response_ = std::move(response);
    if (!exchange.isSuspended_)
        return;
    exchange.isSuspended_ = false;
    MHD_resume_connection(exchange.connection_);
    impl_->runSoon();
}

void HttpServer::closeAfterAnswers()
{
    impl_->isClosing_ = true;
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(impl_->daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
}

} // namespace net
