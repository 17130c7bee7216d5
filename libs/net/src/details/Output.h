#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace net::details {

/** Pending output of one message on a socket: its head, then its body. */
class Output
{
public:
    enum class Progress : std::uint8_t {
        Done,
        Blocked,    ///< the send buffer of the socket is full
        Failed,     ///< the connection is broken; reading may report a regular end instead
        PeerClosed, ///< broken after the peer had ended its own output
    };

    Output() = default;
    Output(std::string head, std::string body)
        : head_(std::move(head))
        , body_(std::move(body))
    {}

    /** Writes as much as the socket accepts. */
    Progress writeTo(int socket);

    bool isDone() const { return written_ == head_.size() + body_.size(); }

    /** Bytes that the socket has accepted. */
    std::size_t written() const { return written_; }

    /** Frees the message, once it is no longer needed. */
    void clear();

    /** Moves the body out, to be sent on another connection. */
    std::string takeBody() { return std::move(body_); }

private:
    std::string head_;
    std::string body_;
    std::size_t written_ = 0;
};

} // namespace net::details
