#include <net/PeerClient.h>

#include <charconv>
#include <map>
#include <unordered_map>
#include <vector>

#include <net/Reactor.h>

#include "details/Http2Connection.h"
#include "details/Socket.h"

namespace net {

namespace {

using details::Http2Stream;

struct Call
{
    HttpRequest request_;
    CallDone done_;
    TimerId timer_ = 0;
};

HttpResponse toResponse(Http2Stream &&message)
{
    HttpResponse response;
    response.body_ = std::move(message.body_);
    for (auto &header : message.headers_) {
        if (header.name_ == ":status")
            std::from_chars(header.value_.data(), header.value_.data() + header.value_.size(),
                            response.status_);
        else if (!header.name_.starts_with(':'))
            response.headers_.push_back(std::move(header));
    }
    return response;
}

} // namespace

struct PeerClient::Impl
{
    class Connection;

    Impl(Reactor &reactor, std::size_t maxBodyBytes, ByteBudget *budget)
        : reactor_(reactor)
        , limits_{maxBodyBytes, budgetOr(budget, unbounded_)}
    {}

    Connection *connectionTo(const model::Address &to);
    void finish(CallId id, CallResult result);
    void removeConnection(Connection *connection);

    Reactor &reactor_;
    ByteBudget unbounded_; ///< used if no budget is given
    const details::Http2Limits limits_;
    std::map<model::Address, std::unique_ptr<Connection>> connections_;
    std::unordered_map<CallId, Call> calls_;
    std::unordered_map<CallId, Connection *> connectionByCall_;
    CallId nextId_ = 1;
};

class PeerClient::Impl::Connection : public details::Http2Connection
{
public:
    Connection(Impl &client, model::Address to, int socket, bool isConnecting)
        : Http2Connection(client.reactor_, socket, client.limits_)
        , client_(client)
        , to_(std::move(to))
    {
        startClient(isConnecting);
    }

    void send(CallId id, Call &call);
    void reset(CallId id);
    const model::Address &address() const { return to_; }

private:
    void messageReceived(std::int32_t stream, Http2Stream &&message) override;
    void streamClosed(std::int32_t stream, std::uint32_t errorCode) override;
    void connectionClosed() override;

    Impl &client_;
    model::Address to_;
    std::unordered_map<std::int32_t, CallId> callByStream_;
    std::unordered_map<CallId, std::int32_t> streamByCall_;
};

void PeerClient::Impl::Connection::send(CallId id, Call &call)
{
    auto &request = call.request_;
    static const std::string methodName = ":method";
    static const std::string pathName = ":path";
    static const std::string schemeName = ":scheme";
    static const std::string scheme = "http";
    static const std::string authorityName = ":authority";
    const auto authority = to_.text();
    std::vector<nghttp2_nv> fields = {details::makeField(methodName, request.method_),
                                      details::makeField(schemeName, scheme),
                                      details::makeField(authorityName, authority),
                                      details::makeField(pathName, request.target_)};
    for (const auto &[name, value] : request.headers_)
        fields.push_back(details::makeField(name, value));
    const bool hasBody = !request.body_.empty();
    const auto provider = bodyProvider();
    const auto streamId = nghttp2_submit_request(session(), nullptr, fields.data(), fields.size(),
                                                 hasBody ? &provider : nullptr, nullptr);
    if (streamId < 0) {
        // The stream identifiers are exhausted: a new connection is opened for the next call.
        client_.reactor_.post([client = &client_, id] {
            client->finish(id,
                           tl::unexpected<Failure>(Failure{FailureKind::NotSent,
                                                           "HTTP/2 stream identifiers exhausted"}));
        });
        return;
    }
    if (hasBody)
        sendBody(streamId, std::move(request.body_));
    callByStream_[streamId] = id;
    streamByCall_[id] = streamId;
    scheduleFlush();
}

void PeerClient::Impl::Connection::reset(CallId id)
{
    const auto found = streamByCall_.find(id);
    if (found == streamByCall_.end())
        return;
    nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, found->second, NGHTTP2_CANCEL);
    callByStream_.erase(found->second);
    streamByCall_.erase(found);
    scheduleFlush();
}

void PeerClient::Impl::Connection::messageReceived(std::int32_t stream, Http2Stream &&message)
{
    const auto found = callByStream_.find(stream);
    if (found == callByStream_.end())
        return;
    const auto id = found->second;
    callByStream_.erase(found);
    streamByCall_.erase(id);
    client_.finish(id, toResponse(std::move(message)));
}

// A refused stream (REFUSED_STREAM) is Lost as well, not NotSent: a server that sends GOAWAY
// reports the last stream received by then, and may still handle later streams from the same read.
void PeerClient::Impl::Connection::streamClosed(std::int32_t stream, std::uint32_t)
{
    const auto found = callByStream_.find(stream);
    if (found == callByStream_.end())
        return;
    const auto id = found->second;
    callByStream_.erase(found);
    streamByCall_.erase(id);
    client_.finish(id, tl::unexpected<Failure>(Failure{
                               FailureKind::Lost,
                               "the HTTP/2 stream was closed before the response was complete"}));
}

void PeerClient::Impl::Connection::connectionClosed()
{
    const auto kind = isConnecting() ? FailureKind::NotSent : FailureKind::Lost;
    const auto *detail = isConnecting() ? "cannot connect"
                                        : "connection closed before the response was complete";
    const auto calls = std::exchange(callByStream_, {});
    streamByCall_.clear();
    client_.removeConnection(this);
    for (const auto &[stream, id] : calls)
        client_.finish(id, tl::unexpected<Failure>(Failure{kind, detail}));
}

PeerClient::Impl::Connection *PeerClient::Impl::connectionTo(const model::Address &to)
{
    if (const auto found = connections_.find(to); found != connections_.end())
        return found->second.get();
    const auto opened = details::openConnection(to);
    if (opened.socket_ < 0)
        return nullptr;
    auto connection = std::make_unique<Connection>(*this, to, opened.socket_, opened.isConnecting_);
    return connections_.emplace(to, std::move(connection)).first->second.get();
}

void PeerClient::Impl::finish(CallId id, CallResult result)
{
    auto node = calls_.extract(id);
    connectionByCall_.erase(id);
    if (node.empty())
        return;
    reactor_.cancel(node.mapped().timer_);
    node.mapped().done_(std::move(result));
}

// Defers the destruction, as this may run within a member function of the connection.
void PeerClient::Impl::removeConnection(Connection *connection)
{
    const auto found = connections_.find(connection->address());
    if (found == connections_.end() || found->second.get() != connection)
        return;
    std::shared_ptr<Connection> closedConnection = std::move(found->second);
    connections_.erase(found);
    std::erase_if(connectionByCall_,
                  [connection](const auto &entry) { return entry.second == connection; });
    reactor_.post([closedConnection] {});
}

PeerClient::PeerClient(Reactor &reactor, std::size_t maxBodyBytes, ByteBudget *budget)
    : impl_(std::make_unique<Impl>(reactor, maxBodyBytes, budget))
{}

PeerClient::~PeerClient()
{
    for (const auto &[id, call] : impl_->calls_)
        impl_->reactor_.cancel(call.timer_);
    impl_->calls_.clear();
    impl_->connections_.clear();
}

CallId PeerClient::send(const model::Address &to, HttpRequest request, base::Millis timeout,
                        CallDone done)
{
    const auto id = impl_->nextId_++;
    auto &call = impl_->calls_[id];
    call.request_ = std::move(request);
    call.done_ = std::move(done);
    call.timer_ = impl_->reactor_.schedule(timeout, [this, id] {
        if (const auto entry = impl_->connectionByCall_.find(id);
            entry != impl_->connectionByCall_.end())
            entry->second->reset(id);
        impl_->finish(id,
                      tl::unexpected<Failure>(Failure{FailureKind::TimedOut, "call timed out"}));
    });
    auto *connection = impl_->connectionTo(to);
    if (connection == nullptr) {
        impl_->reactor_.post([this, id] {
            impl_->finish(id,
                          tl::unexpected<Failure>(Failure{FailureKind::NotSent, "cannot connect"}));
        });
        return id;
    }
    impl_->connectionByCall_[id] = connection;
    connection->send(id, call);
    return id;
}

void PeerClient::cancel(CallId id)
{
    const auto found = impl_->calls_.find(id);
    if (found == impl_->calls_.end())
        return;
    impl_->reactor_.cancel(found->second.timer_);
    impl_->calls_.erase(found);
    if (const auto entry = impl_->connectionByCall_.find(id);
        entry != impl_->connectionByCall_.end()) {
        entry->second->reset(id);
        impl_->connectionByCall_.erase(entry);
    }
}

} // namespace net
