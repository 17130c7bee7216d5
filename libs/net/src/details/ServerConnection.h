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

/** Limits of the messages on a connection. */
struct ServerLimits
{
    std::size_t maxBodyBytes_;
    ByteBudget &budget_;
    const HttpResponse &overBudgetResponse_; ///< to a request that the budget refuses
};

/** Receives the events of a server connection; implemented by the server that accepted it. */
class ServerConnectionOwner
{
public:
    virtual ~ServerConnectionOwner() = default;

    /** A complete request; no further request is parsed until respond() is called. */
    virtual void requestReceived(ServerConnection &connection, HttpRequest request) = 0;

    /** The connection started or stopped waiting for its caller, or the caller made progress. */
    virtual void activityChanged(ServerConnection &connection) = 0;

    /** The socket is closed; the connection may be destroyed after this loop iteration. */
    virtual void connectionClosed(ServerConnection &connection) = 0;
};

/** One accepted HTTP/1.1 connection; serves one request at a time. */
class ServerConnection : public ACE_Event_Handler
{
public:
    using List = std::list<ServerConnection *>;

    /** Per-connection data of the server. */
    struct Record
    {
        List *list_ = nullptr;
        List::iterator listPosition_;
        base::Millis lastActivity_;    ///< when the caller last made progress
        std::uint64_t exchangeId_ = 0; ///< the request being served, or 0
    };

    ServerConnection(Reactor &reactor, int socket, const ServerLimits &limits,
                     ServerConnectionOwner &owner);
    ~ServerConnection() override;

    /**
     * Sends the response to the latest request; with closesAfter, closes the connection after it
     * unless the caller has sent more.
     */
    void respond(HttpResponse response, bool closesAfter);

    /** Closes the socket and notifies the owner. */
    void closeConnection();

    /** Whether the connection waits for its caller, to send a request or read the response. */
    bool isWaitingForCaller() const { return state_ != State::Serving; }

    /** Whether a response is being written, or its delivery is awaited before closing. */
    bool isDelivering() const { return state_ == State::Writing || state_ == State::Lingering; }

    /** Whether no request is partly received and no response is being written. */
    bool isIdle() const;

    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

    Record record_;

private:
    enum class State : std::uint8_t {
        Reading,
        Serving, ///< awaits respond()
        Writing,
        Lingering, ///< last response sent; input is discarded until the caller closes
        Closed,
    };

    void parseBuffered();
    void parse(std::string_view bytes);
    void reject(HttpResponse response);
    void linger();
    void checkDeliveryLater();
    void checkDelivery();
    void write();
    void finishResponse();
    void updateWatch();

    Reactor &reactor_;
    const int socket_;
    const ServerLimits limits_;
    ServerConnectionOwner &owner_;
    RequestParser parser_;
    std::string unparsed_; ///< received, but not yet consumed by the parser
    Output output_;
    ByteReservation reservation_;      ///< request and response, until the response is written
    std::size_t discardedBytes_ = 0;   ///< while lingering
    std::size_t undeliveredBytes_ = 0; ///< at the last check while lingering
    State state_ = State::Reading;
    bool isHeadRequest_ = false;
    bool closesAfterResponse_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace net::details
