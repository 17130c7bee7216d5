#include <net/HttpClient.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <base/Clock.h>
#include <net/ByteBudget.h>
#include <net/Reactor.h>

#include "details/ClientConnection.h"

namespace net {

namespace {

using details::ClientConnection;

constexpr std::size_t maxIdlePerAddress = 1024;

struct Call
{
    HttpRequest request_;
    CallDone done_;
    TimerId timer_ = 0;
    ClientConnection *connection_ = nullptr;
};

} // namespace

struct HttpClient::Impl : details::ClientConnectionOwner
{
    Impl(Reactor &reactor, const HttpClientOptions &options)
        : reactor_(reactor)
        , options_(options)
    {}

    using IdleConnections = std::vector<ClientConnection *>; ///< most recently used last

    bool dispatch(CallId id, const model::Address &to);
    bool sendOn(ClientConnection &connection, CallId id);
    ClientConnection *takeIdle(const model::Address &to, const HttpRequest &request);
    ClientConnection *open(const model::Address &to);
    void keepIdle(ClientConnection &connection);
    void finish(CallId id, CallResult result);
    void timedOut(CallId id);
    void callEnded(ClientConnection &connection, CallResult result) override;
    void connectionClosed(ClientConnection &connection) override;

    Reactor &reactor_;
    const HttpClientOptions options_;
    ByteBudget unbounded_; ///< used if the options have no budget
    std::unordered_map<CallId, Call> calls_;
    std::unordered_map<ClientConnection *, std::unique_ptr<ClientConnection>> connections_;
    std::map<model::Address, IdleConnections> idle_;
    CallId nextId_ = 1;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

/** Sends the call on an idle or a new connection; false if neither succeeds. */
bool HttpClient::Impl::dispatch(CallId id, const model::Address &to)
{
    while (auto *idle = takeIdle(to, calls_.at(id).request_)) {
        if (sendOn(*idle, id))
            return true;
    }
    auto *connection = open(to);
    return connection != nullptr && sendOn(*connection, id);
}

bool HttpClient::Impl::sendOn(ClientConnection &connection, CallId id)
{
    auto &call = calls_.at(id);
    connection.callId_ = id;
    call.connection_ = &connection;
    if (connection.send(call.request_))
        return true;
    call.connection_ = nullptr;
    return false;
}

ClientConnection *HttpClient::Impl::takeIdle(const model::Address &to, const HttpRequest &request)
{
    const auto found = idle_.find(to);
    if (found == idle_.end())
        return nullptr;
    auto &idle = found->second;
    const auto now = base::monotonicNow();
    for (auto index = idle.size(); index-- > 0;) {
        auto *connection = idle[index];
        if (connection->usableUntil() <= now) {
            connection->closeConnection(); // removes it from the list
        } else if (connection->mayCarry(request)) {
            idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
            return connection;
        }
    }
    return nullptr;
}

ClientConnection *HttpClient::Impl::open(const model::Address &to)
{
    const auto socket = details::openConnection(to);
    if (socket.socket_ < 0)
        return nullptr;
    auto connection = std::make_unique<ClientConnection>(
            reactor_, to, socket, options_, budgetOr(options_.budget_, unbounded_), *this);
    auto *key = connection.get();
    connections_.emplace(key, std::move(connection));
    return key;
}

void HttpClient::Impl::keepIdle(ClientConnection &connection)
{
    auto &idle = idle_[connection.address()];
    idle.push_back(&connection);
    auto *oldest = idle.front();
    if (idle.size() > maxIdlePerAddress || oldest->usableUntil() <= base::monotonicNow())
        oldest->closeConnection();
}

void HttpClient::Impl::finish(CallId id, CallResult result)
{
    auto node = calls_.extract(id);
    if (node.empty())
        return;
    reactor_.cancel(node.mapped().timer_);
    node.mapped().done_(std::move(result));
}

void HttpClient::Impl::timedOut(CallId id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    auto *connection = found->second.connection_;
    const bool isSent = connection != nullptr && connection->hasSent();
    if (connection != nullptr)
        connection->closeConnection();
    finish(id, tl::unexpected<Failure>(Failure{
                       isSent ? FailureKind::TimedOut : FailureKind::NotSent, "call timed out"}));
}

void HttpClient::Impl::callEnded(ClientConnection &connection, CallResult result)
{
    const auto id = std::exchange(connection.callId_, 0);
    if (connection.isIdle())
        keepIdle(connection);
    finish(id, std::move(result));
}

// Defers the destruction, as this may run within a member function of the connection.
void HttpClient::Impl::connectionClosed(ClientConnection &connection)
{
    if (const auto found = idle_.find(connection.address()); found != idle_.end())
        std::erase(found->second, &connection);
    auto node = connections_.extract(&connection);
    std::shared_ptr<ClientConnection> closedConnection = std::move(node.mapped());
    reactor_.post([closedConnection] {});
}

HttpClient::HttpClient(Reactor &reactor, const HttpClientOptions &options)
    : impl_(std::make_unique<Impl>(reactor, options))
{}

HttpClient::~HttpClient()
{
    *impl_->isAlive_ = false;
    for (const auto &[id, call] : impl_->calls_)
        impl_->reactor_.cancel(call.timer_);
}

CallId HttpClient::send(const model::Address &to, HttpRequest request, base::Millis timeout,
                        CallDone done)
{
    const auto id = impl_->nextId_++;
    auto &call = impl_->calls_[id];
    call.request_ = std::move(request);
    call.done_ = std::move(done);
    call.timer_ = impl_->reactor_.schedule(timeout, [this, id] { impl_->timedOut(id); });
    if (!impl_->dispatch(id, to)) {
        impl_->reactor_.post([impl = impl_.get(), alive = impl_->isAlive_, id] {
            if (*alive)
                impl->finish(id, tl::unexpected<Failure>(
                                         Failure{FailureKind::NotSent, "cannot connect"}));
        });
    }
    return id;
}

void HttpClient::cancel(CallId id)
{
    const auto node = impl_->calls_.extract(id);
    if (node.empty())
        return;
    impl_->reactor_.cancel(node.mapped().timer_);
    if (auto *connection = node.mapped().connection_; connection != nullptr)
        connection->closeConnection();
}

} // namespace net
