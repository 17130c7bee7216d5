#include <net/PeerServer.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <unordered_map>
#include <vector>

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <net/Reactor.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "details/DeadPeerDetection.h"
#include "details/Http2Connection.h"

namespace net {

namespace {

using details::Http2Stream;

constexpr int listenBacklog = 1024;

HttpRequest toRequest(Http2Stream &&message)
{
    HttpRequest request;
    request.body_ = std::move(message.body_);
    for (auto &header : message.headers_) {
        if (header.name_ == ":method")
            request.method_ = std::move(header.value_);
        else if (header.name_ == ":path")
            request.target_ = std::move(header.value_);
        else if (!header.name_.starts_with(':'))
            request.headers_.push_back(std::move(header));
    }
    return request;
}

} // namespace

struct PeerServer::Impl : ACE_Event_Handler
{
    class Connection;

    /** Connection and stream that await the response of one exchange. */
    struct PendingExchange
    {
        Connection *connection_;
        std::int32_t stream_;
    };

    explicit Impl(Reactor &reactor)
        : reactor_(reactor)
    {}

    int handle_input(ACE_HANDLE) override;
    ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }
    void removeConnection(Connection *connection);

    Reactor &reactor_;
    ACE_SOCK_Acceptor acceptor_;
    ByteBudget unbounded_; ///< used if the options have no budget
    std::optional<details::Http2Limits> limits_;
    std::uint32_t maxConnections_ = 0;
    HttpServer::RequestHandler onRequest_;
    HttpServer::CancelHandler onCancel_;
    std::unordered_map<Connection *, std::unique_ptr<Connection>> connections_;
    std::unordered_map<ExchangeId, PendingExchange> pending_;
    ExchangeId nextId_ = 1;
};

class PeerServer::Impl::Connection : public details::Http2Connection
{
public:
    Connection(Impl &server, int socket)
        : Http2Connection(server.reactor_, socket, *server.limits_)
        , server_(server)
    {
        startServer();
    }

    void respond(std::int32_t stream, HttpResponse response);

private:
    void messageReceived(std::int32_t stream, Http2Stream &&message) override;
    void streamClosed(std::int32_t stream, std::uint32_t errorCode) override;
    void connectionClosed() override;

    Impl &server_;
    std::unordered_map<std::int32_t, ExchangeId> exchanges_;
};

void PeerServer::Impl::Connection::messageReceived(std::int32_t stream, Http2Stream &&message)
{
    const auto id = server_.nextId_++;
    exchanges_[stream] = id;
    server_.pending_[id] = {this, stream};
    server_.onRequest_(id, toRequest(std::move(message)));
}

void PeerServer::Impl::Connection::streamClosed(std::int32_t stream, std::uint32_t)
{
    const auto found = exchanges_.find(stream);
    if (found == exchanges_.end())
        return;
    const auto id = found->second;
    exchanges_.erase(found);
    if (server_.pending_.erase(id) > 0 && server_.onCancel_)
        server_.onCancel_(id);
}

void PeerServer::Impl::Connection::connectionClosed()
{
    const auto exchanges = std::exchange(exchanges_, {});
    for (const auto &[stream, id] : exchanges) {
        if (server_.pending_.erase(id) > 0 && server_.onCancel_)
            server_.onCancel_(id);
    }
    server_.removeConnection(this);
}

void PeerServer::Impl::Connection::respond(std::int32_t streamId, HttpResponse response)
{
    const auto status = std::to_string(response.status_);
    static const std::string statusName = ":status";
    std::vector<nghttp2_nv> fields = {details::makeField(statusName, status)};
    for (auto &header : response.headers_) {
        for (auto &c : header.name_)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        fields.push_back(details::makeField(header.name_, header.value_));
    }
    const bool hasBody = !response.body_.empty();
    if (hasBody)
        sendBody(streamId, std::move(response.body_));
    const auto provider = bodyProvider();
    nghttp2_submit_response(session(), streamId, fields.data(), fields.size(),
                            hasBody ? &provider : nullptr);
    scheduleFlush();
}

int PeerServer::Impl::handle_input(ACE_HANDLE)
{
    ACE_SOCK_Stream accepted;
    if (acceptor_.accept(accepted) != 0)
        return 0;
    if (connections_.size() >= maxConnections_) {
        accepted.close();
        return 0;
    }
    accepted.enable(ACE_NONBLOCK);
    int isOn = 1;
    accepted.set_option(IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    details::enableDeadPeerDetection(accepted.get_handle());
    auto connection = std::make_unique<Connection>(*this, accepted.get_handle());
    auto *key = connection.get();
    connections_.emplace(key, std::move(connection));
    return 0;
}

// Defers the destruction, as this may run within a member function of the connection.
void PeerServer::Impl::removeConnection(Connection *connection)
{
    auto node = connections_.extract(connection);
    if (node.empty())
        return;
    std::shared_ptr<Connection> closedConnection = std::move(node.mapped());
    reactor_.post([closedConnection] {});
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

base::Result<std::unique_ptr<PeerServer>> PeerServer::start(Reactor &reactor,
                                                            const HttpServerOptions &options,
                                                            HttpServer::RequestHandler onRequest,
                                                            HttpServer::CancelHandler onCancel)
{
    auto impl = std::make_unique<Impl>(reactor);
    impl->limits_.emplace(details::Http2Limits{options.maxBodyBytes_,
                                               budgetOr(options.budget_, impl->unbounded_)});
    impl->maxConnections_ = options.maxConnections_;
    impl->onRequest_ = std::move(onRequest);
    impl->onCancel_ = std::move(onCancel);
    const ACE_INET_Addr address(options.listen_.port_, options.listen_.host_.c_str());
    if (impl->acceptor_.open(address, 1, PF_INET, listenBacklog) != 0)
        return base::fail("listen-failed", "cannot listen on " + options.listen_.text() + ": "
                                                   + std::strerror(errno));
    impl->acceptor_.enable(ACE_NONBLOCK);
    reactor.watch(impl->get_handle(), *impl, ACE_Event_Handler::ACCEPT_MASK);
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::~PeerServer()
{
    impl_->onCancel_ = {};
    impl_->reactor_.unwatch(impl_->get_handle());
    impl_->connections_.clear();
    impl_->acceptor_.close();
}

void PeerServer::respond(ExchangeId id, HttpResponse response)
{
    const auto found = impl_->pending_.find(id);
    if (found == impl_->pending_.end())
        return;
    const auto [connection, stream] = found->second;
    impl_->pending_.erase(found);
    connection->respond(stream, std::move(response));
}

std::size_t PeerServer::unsentCount() const
{
    const auto &connections = impl_->connections_;
    return static_cast<std::size_t>(
            std::count_if(connections.begin(), connections.end(),
                          [](const auto &entry) { return entry.first->hasUnsentOutput(); }));
}

std::uint16_t PeerServer::port() const
{
    ACE_INET_Addr address;
    impl_->acceptor_.get_local_addr(address);
    return address.get_port_number();
}

} // namespace net
