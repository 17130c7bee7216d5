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

#include "details/MessageParser.h"
#include "details/Output.h"
#include "details/Socket.h"

namespace net {
class Reactor;
struct HttpClientOptions;
} // namespace net

namespace net::details {

class ClientConnection;

/** What a connection tells the client that opened it. */
class ClientConnectionOwner
{
public:
    virtual ~ClientConnectionOwner() = default;

    /** The request sent last has ended. The connection is idle or closed by now. */
    virtual void callEnded(ClientConnection &connection, CallResult result) = 0;

    /** The socket is closed; the connection may be destroyed after this turn. */
    virtual void connectionClosed(ClientConnection &connection) = 0;
};

/** One HTTP/1.1 connection to a server: a request, its answer, the next request. */
class ClientConnection : public ACE_Event_Handler
{
public:
    ClientConnection(Reactor &reactor, const model::Address &to, const OpenSocket &socket,
                     const HttpClientOptions &options, ByteBudget &budget,
                     ClientConnectionOwner &owner);
    ~ClientConnection() override;

    /**
     * Sends a request and awaits its answer. Precondition: the connection is idle or was just made.
     * Returns false, with the request untouched, if the connection turns out to be broken and has
     * taken no byte; the owner is then told of the close, not of the end of the call.
     */
    bool send(HttpRequest &request);

    /** False for a request that was refused on this connection: a copy of that could come late. */
    bool mayCarry(const HttpRequest &request) const;

    /** Closes the socket and tells the owner; a call is not told of its end. */
    void closeConnection();

    /** Whether any byte of the request sent last may have reached the server. */
    bool hasSent() const { return state_ == State::AwaitingResponse; }

    /** Whether it is open and no call is in progress. */
    bool isIdle() const { return state_ == State::Idle; }

    /** Until when the idle connection may be used. */
    base::Millis usableUntil() const { return usableUntil_; }

    const model::Address &address() const { return to_; }

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

    std::uint64_t callId_ = 0; ///< kept by the owner: the call in progress, or 0

private:
    enum class State : std::uint8_t {
        Connecting,
        Idle,
        AwaitingResponse, ///< the answer to a request
        Closed,
    };

    /** Which request an answer belongs to. */
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
    void fail(FailureKind kind, const char *detail);

    Reactor &reactor_;
    const model::Address to_;
    const int socket_;
    const HttpClientOptions &options_;
    ByteBudget &budget_;
    ClientConnectionOwner &owner_;
    ResponseParser parser_;
    std::string unparsed_; ///< received, and not yet taken by the parser
    Output output_;
    ByteReservation reservation_; ///< by the request and what has come of its answer
    std::string expectedEcho_;    ///< value of the field that the answer has to repeat
    State state_;
    base::Millis usableUntil_;
    bool isHeadRequest_ = false;
    bool hasCompletedRequest_ = false;           ///< before the one sent last
    std::vector<std::uint64_t> refusedIdHashes_; ///< hashes; of requests not answered by success
    int interimResponses_ = 0;                   ///< before the answer to the request sent last
    int mismatchedResponses_ = 0;                ///< likewise, to other requests
};

} // namespace net::details
