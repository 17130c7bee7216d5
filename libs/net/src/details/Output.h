#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace net::details {

/** Bytes of one message that are still to be written to a socket: its head, then its body. */
class Output
{
public:
    enum class Progress : std::uint8_t {
        Done,
        Blocked, ///< the socket takes no more for now
        Failed,  ///< the connection is broken
    };

    Output() = default;
    Output(std::string head, std::string body)
        : head_(std::move(head))
        , body_(std::move(body))
    {}

    /** Writes as much as the socket takes. */
    Progress writeTo(int socket);

    bool isDone() const { return written_ == head_.size() + body_.size(); }

    /** Bytes that the socket has taken. */
    std::size_t written() const { return written_; }

    /** The body, to be sent another way. */
    std::string takeBody() { return std::move(body_); }

private:
    std::string head_;
    std::string body_;
    std::size_t written_ = 0;
};

} // namespace net::details
