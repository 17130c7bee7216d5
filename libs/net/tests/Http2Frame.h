#pragma once

#include <string>

/** Builds raw HTTP/2 frames; for tests. */
namespace http2 {

inline constexpr char dataFrame = 0;
inline constexpr char headersFrame = 1;
inline constexpr char rstStreamFrame = 3;
inline constexpr char settingsFrame = 4;
inline constexpr char goAwayFrame = 7;
inline constexpr char acknowledgement = 1;
inline constexpr char endHeadersFlag = 4;

/** One frame of a stream, or of the connection with stream 0. */
inline std::string frame(char type, char flags, char stream, const std::string &payload)
{
    std::string bytes;
    bytes += static_cast<char>(payload.size() >> 16);
    bytes += static_cast<char>(payload.size() >> 8);
    bytes += static_cast<char>(payload.size());
    return bytes + type + flags + std::string("\0\0\0", 3) + stream + payload;
}

/** Connection preface and SETTINGS of a client. */
inline std::string preface()
{
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settingsFrame, 0, 0, "");
}

/** HEADERS of a request on stream 1: POST, http and "/" (HPACK static table), ":authority: a". */
inline std::string requestHead()
{
    return frame(headersFrame, endHeadersFlag, 1,
                 "\x83\x86\x84\x41\x01"
                 "a");
}

/** HEADERS of a response on stream 1 with status 200 (HPACK static table). */
inline std::string responseHead()
{
    return frame(headersFrame, endHeadersFlag, 1, "\x88");
}

} // namespace http2
