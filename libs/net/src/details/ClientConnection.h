#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <ace/Event_Handler.h>
#include <base/Millis.h>
#include <model/Address.h>
#include <net/ByteReservation.h>
#include <net/CallResult.h>
#include <net/HttpRequest.h>
#include <net/MatchedBy.h>
#include <net/Reactor.h>

#include "details/MessageParser.h"
#include "details/Output.h"
#include "details/Socket.h"

namespace net {
struct HttpClientOptions;
} // namespace net

namespace net::details {

class ClientConnection;

/** Receives the events of a client connection; implemented by the client that opened it. */
class ClientConnectionOwner
{
public:
    virtual ~ClientConnectionOwner() = default;

    /** The latest call has completed or failed; the connection is already idle or closed. */
    virtual void callEnded(ClientConnection &connection, CallResult result) = 0;

    /** The socket is closed; the connection may be destroyed after this loop iteration. */
    virtual void connectionClosed(ClientConnection &connection) = 0;
};

/** One HTTP/1.1 connection to a server; carries one request at a time, without pipelining. */
class ClientConnection : public ACE_Event_Handler
{
public:
    ClientConnection(Reactor &reactor, const model::Address &to, const OpenSocket &socket,
                     const HttpClientOptions &options, ByteBudget &budget,
                     ClientConnectionOwner &owner);
    ~ClientConnection() override;

    /**
     * Sends a request and awaits its response. Precondition: the connection is idle or new.
     * Returns false, with the request unchanged, if the connection is broken and no byte was
     * written; the owner then gets connectionClosed() but not callEnded().
     */
    bool send(HttpRequest &request);

    /** False if this connection refused the request before: a duplicate refusal may arrive late. */
    bool mayCarry(const HttpRequest &request) const;

    /** Closes the socket and notifies the owner, without callEnded() for a call in progress. */
    void closeConnection();

    /** Whether any byte of the latest request may have reached the server. */
    bool hasSent() const
    {
        return state_ == State::AwaitingResponse || state_ == State::AwaitingDelivery;
    }

    /** Whether the connection is open and has no call in progress. */
    bool isIdle() const { return state_ == State::Idle; }

    /** Time after which the idle connection must not be reused. */
    base::Millis usableUntil() const { return usableUntil_; }

    const model::Address &address() const { return to_; }

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

    std::uint64_t callId_ = 0; ///< set by the owner: the call in progress, or 0

private:
    enum class State : std::uint8_t {
        Connecting,
        Idle,
        AwaitingResponse,
        AwaitingDelivery, ///< the response has ended, but the server lacks a part of the request
        Closed,
    };

    /** The request that a response belongs to. */
    enum class ResponseMatch : std::uint8_t {
        CurrentRequest,
        OtherRequest,
        Ambiguous,
    };

    void finishConnect();
    bool write();
    void parse(std::string_view bytes);
    ResponseMatch matchResponse() const;
    MatchedBy matchingCriterion() const;
    bool skipResponse(bool isFinal);
    void completeResponse(bool hasExtraBytes);
    void handleEndOfStream();
    void checkDelivery();
    void fail(FailureKind kind, const char *detail);

    Reactor &reactor_;
    const model::Address to_;
    const int socket_;
    const HttpClientOptions &options_;
    ByteBudget &budget_;
    ClientConnectionOwner &owner_;
    ResponseParser parser_;
    std::string unparsed_; ///< received, but not yet consumed by the parser
    Output output_;
    ByteReservation reservation_; ///< request and the received part of its response
    std::string expectedEcho_;    ///< required value of the echoed field
    State state_;
    TimerId deliveryTimer_ = 0;
    base::Millis usableUntil_;
    bool isHeadRequest_ = false;
    bool hasCompletedRequest_ = false;           ///< before the latest request
    std::vector<std::uint64_t> refusedIdHashes_; ///< requests without a successful response
    bool isCutOff_ = false;       ///< a write failed before the peer ended its output
    int interimResponses_ = 0;    ///< 1xx, for the latest request
    int mismatchedResponses_ = 0; ///< received in place of its response
};

} // namespace net::details
