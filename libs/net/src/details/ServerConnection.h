#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <ace/Event_Handler.h>
#include <base/Millis.h>
#include <net/ByteReservation.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

#include "details/MessageParser.h"
#include "details/Output.h"

namespace net {
class Reactor;
}

namespace net::details {

class ServerConnection;

/** Bounds of the messages on a connection. */
struct ServerLimits
{
    std::size_t maxBodyBytes_;
    ByteBudget &budget_;
    const HttpResponse &overBudgetResponse_; ///< answers a request for which the budget has no room
};

/** What a connection tells the server that accepted it. */
class ServerConnectionOwner
{
public:
    virtual ~ServerConnectionOwner() = default;

    /** A whole request; the connection reads no further one until respond() is called. */
    virtual void requestReceived(ServerConnection &connection, HttpRequest request) = 0;

    /** The connection has begun or ended to wait for its caller, or got on with it. */
    virtual void activityChanged(ServerConnection &connection) = 0;

    /** The socket is closed; the connection may be destroyed after this turn. */
    virtual void connectionClosed(ServerConnection &connection) = 0;
};

/** One accepted HTTP/1.1 connection: a request, its answer, the next request. */
class ServerConnection : public ACE_Event_Handler
{
public:
    using List = std::list<ServerConnection *>;

    /** What the server keeps for a connection. */
    struct Record
    {
        List *list_ = nullptr;
        List::iterator listPosition_;
        base::Millis lastActivity_;    ///< when the caller last took a step
        std::uint64_t exchangeId_ = 0; ///< the request being served, or 0
    };

    ServerConnection(Reactor &reactor, int socket, const ServerLimits &limits,
                     ServerConnectionOwner &owner);
    ~ServerConnection() override;

    /** Answers the request that arrived last; closesAfter ends the connection after it. */
    void respond(HttpResponse response, bool closesAfter);

    /** Closes the socket and tells the owner. */
    void closeConnection();

    /** Whether the caller has the next step: to send a request, or to read its answer. */
    bool isWaitingForCaller() const { return state_ != State::Serving; }

    /** Whether no byte of a request was read and no answer is being written. */
    bool isIdle() const;

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

    Record record_;

private:
    enum class State : std::uint8_t {
        Reading,
        Serving, ///< the request waits for its answer
        Writing,
        Lingering, ///< answered; what the caller still sends is dropped until it closes
        Closed,
    };

    void parseBuffered();
    void parse(std::string_view bytes);
    void reject(HttpResponse response);
    void linger();
    void write();
    void finishResponse();
    void updateWatch();

    Reactor &reactor_;
    const int socket_;
    const ServerLimits limits_;
    ServerConnectionOwner &owner_;
    RequestParser parser_;
    std::string unparsed_; ///< received, and not yet taken by the parser
    Output output_;
    ByteReservation reservation_;    ///< by the request until it is answered, and by the answer
    std::size_t discardedBytes_ = 0; ///< while lingering
    State state_ = State::Reading;
    bool isHeadRequest_ = false;
    bool closesAfterResponse_ = false;
    bool isRejecting_ = false; ///< the rest of the request is dropped
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace net::details
