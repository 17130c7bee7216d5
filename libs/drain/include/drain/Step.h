#pragma once

#include <cstdint>

namespace drain {

/** A step of the drain, in this order. */
enum class Step : std::uint8_t {
    RefuseCallers, ///< refuse new requests of callers; calls of running requests are still served
    HandOver,      ///< refuse new work for the backend server
    TakeBack,      ///< take back what has not started, here and at other daemons
    AnswerRest,    ///< answer what is still open
    End,           ///< leave
};

} // namespace drain
