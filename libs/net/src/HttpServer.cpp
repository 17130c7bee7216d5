#include <net/HttpServer.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <base/Clock.h>
#include <net/ByteBudget.h>
#include <net/Reactor.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "details/ServerConnection.h"

namespace net {

namespace {

using details::ServerConnection;

constexpr int listenBacklog = 1024;

/** Limits the accepts of one loop iteration, so that accepted connections are not starved. */
constexpr int maxAcceptsPerIteration = 64;

/** Interval between checks for connections that exceed the idle timeout. */
constexpr base::Millis sweepInterval(1000);

/** Pause of accepting when no descriptor is left, or no idle connection to close. */
constexpr base::Millis acceptPause(100);

} // namespace

struct HttpServer::Impl : ACE_Event_Handler, details::ServerConnectionOwner
{
    explicit Impl(Reactor &reactor)
        : reactor_(reactor)
    {}

    int handle_input(ACE_HANDLE) override;
    bool acceptOne();
    bool hasPendingConnection() const;
    bool evictIdleConnection();
    void pauseAccepting();
    void sweep();
    void requestReceived(ServerConnection &connection, HttpRequest request) override;
    void activityChanged(ServerConnection &connection) override;
    void connectionClosed(ServerConnection &connection) override;

    Reactor &reactor_;
    HttpServerOptions options_;
    ByteBudget unbounded_; ///< used if the options have no budget
    ACE_SOCK_Acceptor acceptor_;
    RequestHandler onRequest_;
    CancelHandler onCancel_;
    std::unordered_map<ServerConnection *, std::unique_ptr<ServerConnection>> connections_;
    ServerConnection::List awaitingCaller_; ///< least recent activity first
    ServerConnection::List serving_;
    std::unordered_map<ExchangeId, ServerConnection *> exchanges_;
    ExchangeId nextId_ = 1;
    TimerId sweepTimer_ = 0;
    TimerId acceptTimer_ = 0;
    bool closesAfterResponses_ = false; ///< connections are closed after the next response
};

int HttpServer::Impl::handle_input(ACE_HANDLE)
{
    for (int i = 0; i < maxAcceptsPerIteration; ++i) {
        if (!acceptOne())
            break;
    }
    return 0;
}

bool HttpServer::Impl::acceptOne()
{
    if (connections_.size() >= options_.maxConnections_) {
        if (!hasPendingConnection())
            return false;
        if (!evictIdleConnection()) {
            pauseAccepting();
            return false;
        }
    }
    const int socket =
            ::accept4(acceptor_.get_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
            pauseAccepting();
        return errno == ECONNABORTED || errno == EINTR;
    }
    auto connection = std::make_unique<ServerConnection>(
            reactor_, socket,
            details::ServerLimits{options_.maxBodyBytes_, budgetOr(options_.budget_, unbounded_),
                                  options_.overBudgetResponse_},
            *this);
    auto *key = connection.get();
    key->record_ = {.list_ = &awaitingCaller_,
                    .listPosition_ = awaitingCaller_.insert(awaitingCaller_.end(), key),
                    .lastActivity_ = base::monotonicNow()};
    connections_.emplace(key, std::move(connection));
    return true;
}

/** Whether a connection is waiting to be accepted. */
bool HttpServer::Impl::hasPendingConnection() const
{
    pollfd listener = {acceptor_.get_handle(), POLLIN, 0};
    return ::poll(&listener, 1, 0) > 0;
}

/** Closes the connection that has been idle longest; false if none is idle. */
bool HttpServer::Impl::evictIdleConnection()
{
    for (auto *connection : awaitingCaller_) {
        if (connection->isIdle()) {
            connection->closeConnection();
            return true;
        }
    }
    return false;
}

void HttpServer::Impl::pauseAccepting()
{
    if (acceptTimer_ != 0)
        return;
    reactor_.unwatch(acceptor_.get_handle());
    acceptTimer_ = reactor_.schedule(acceptPause, [this] {
        acceptTimer_ = 0;
        reactor_.watch(acceptor_.get_handle(), *this, ACCEPT_MASK);
    });
}

void HttpServer::Impl::sweep()
{
    const auto oldest = base::monotonicNow() - options_.idleTimeout_;
    while (!awaitingCaller_.empty() && awaitingCaller_.front()->record_.lastActivity_ < oldest)
        awaitingCaller_.front()->closeConnection();
    sweepTimer_ = reactor_.schedule(sweepInterval, [this] { sweep(); });
}

void HttpServer::Impl::requestReceived(ServerConnection &connection, HttpRequest request)
{
    const auto id = nextId_++;
    exchanges_.emplace(id, &connection);
    connection.record_.exchangeId_ = id;
    onRequest_(id, std::move(request));
}

void HttpServer::Impl::activityChanged(ServerConnection &connection)
{
    auto &record = connection.record_;
    auto &to = connection.isWaitingForCaller() ? awaitingCaller_ : serving_;
    to.splice(to.end(), *record.list_, record.listPosition_);
    record.list_ = &to;
    record.lastActivity_ = base::monotonicNow();
}

// Defers the destruction, as this may run within a member function of the connection.
void HttpServer::Impl::connectionClosed(ServerConnection &connection)
{
    const auto &record = connection.record_;
    record.list_->erase(record.listPosition_);
    if (exchanges_.erase(record.exchangeId_) > 0 && onCancel_)
        onCancel_(record.exchangeId_);
    auto node = connections_.extract(&connection);
    std::shared_ptr<ServerConnection> closedConnection = std::move(node.mapped());
    reactor_.post([closedConnection] {});
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

base::Result<std::unique_ptr<HttpServer>> HttpServer::start(Reactor &reactor,
                                                            const HttpServerOptions &options,
                                                            RequestHandler onRequest,
                                                            CancelHandler onCancel)
{
    auto impl = std::make_unique<Impl>(reactor);
    impl->options_ = options;
    impl->onRequest_ = std::move(onRequest);
    impl->onCancel_ = std::move(onCancel);
    const ACE_INET_Addr address(options.listen_.port_, options.listen_.host_.c_str());
    if (impl->acceptor_.open(address, 1, PF_INET, listenBacklog) != 0)
        return base::fail("listen-failed", "cannot listen on " + options.listen_.text() + ": "
                                                   + std::strerror(errno));
    impl->acceptor_.enable(ACE_NONBLOCK);
    // Accepted sockets inherit this option.
    int isOn = 1;
    ::setsockopt(impl->acceptor_.get_handle(), IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    reactor.watch(impl->acceptor_.get_handle(), *impl, ACE_Event_Handler::ACCEPT_MASK);
    impl->sweepTimer_ = reactor.schedule(sweepInterval, [raw = impl.get()] { raw->sweep(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::~HttpServer()
{
    impl_->reactor_.cancel(impl_->sweepTimer_);
    impl_->reactor_.cancel(impl_->acceptTimer_);
    impl_->reactor_.unwatch(impl_->acceptor_.get_handle());
    impl_->acceptor_.close();
    impl_->onCancel_ = {};
    impl_->connections_.clear();
}

void HttpServer::respond(ExchangeId id, HttpResponse response)
{
    const auto node = impl_->exchanges_.extract(id);
    if (node.empty())
        return;
    node.mapped()->record_.exchangeId_ = 0;
    node.mapped()->respond(std::move(response), impl_->closesAfterResponses_);
}

void HttpServer::closeAfterResponses()
{
    impl_->closesAfterResponses_ = true;
}

std::size_t HttpServer::undeliveredCount() const
{
    const auto &waiting = impl_->awaitingCaller_;
    return static_cast<std::size_t>(
            std::count_if(waiting.begin(), waiting.end(),
                          [](const auto *connection) { return connection->isDelivering(); }));
}

std::uint16_t HttpServer::port() const
{
    ACE_INET_Addr address;
    impl_->acceptor_.get_local_addr(address);
    return address.get_port_number();
}

} // namespace net
