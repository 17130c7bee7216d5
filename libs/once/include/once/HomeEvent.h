#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <base/Millis.h>
#include <once/Incarnation.h>
#include <once/Key.h>
#include <once/Outcome.h>
#include <once/SubKey.h>

namespace once {

/** Names one exchange that waits for an outcome; never reused within a process. */
using WaiterId = std::uint64_t;

/** Names the record of one key at its home. */
using RecordId = std::uint64_t;

/** A key that a backend server made for a call of its own, valid within the running call. */
struct ContextKey
{
    std::string context_; ///< token of the running call, already known to be valid
    std::string text_;

    bool operator==(const ContextKey &) const = default;
};

/** A caller's request of a non-idempotent class, or its repetition. */
struct Request
{
    WaiterId waiter_ = 0;
    std::variant<Key, ContextKey> key_;
    std::string customer_;
    std::string service_;
    std::uint64_t digest_ = 0; ///< hash of method, target and body: same key, same request
    base::Millis deadline_;    ///< on the home's clock

    bool operator==(const Request &) const = default;
};

/** The caller hung up. */
struct HungUp
{
    WaiterId waiter_ = 0;

    bool operator==(const HungUp &) const = default;
};

/** Routing chose an executor; answers ChooseExecutor. */
struct Chosen
{
    RecordId record_ = 0;
    Incarnation executor_;

    bool operator==(const Chosen &) const = default;
};

/** No further attempt is to be made; answers ChooseExecutor. Burns the key. */
struct NotChosen
{
    RecordId record_ = 0;
    NotRun why_;

    bool operator==(const NotChosen &) const = default;
};

/** The executor's own word on a sub-key; answers Delegate or Ask. */
struct ExecutorSaid
{
    SubKey subKey_;
    Outcome outcome_;

    bool operator==(const ExecutorSaid &) const = default;
};

/** How a message to an executor failed. */
enum class SendFailure : std::uint8_t {
    NotSent, ///< no byte of it reached the other side's application
    Lost,    ///< lost, cut or timed out: it may have arrived
};

/** A Delegate or Ask brought no answer. */
struct SendFailed
{
    SubKey subKey_;
    SendFailure failure_ = SendFailure::Lost;

    bool operator==(const SendFailed &) const = default;
};

/** The executor's address is now served by another process, which refused the message. */
struct ExecutorReplaced
{
    SubKey subKey_;

    bool operator==(const ExecutorReplaced &) const = default;
};

/** A running call of the backend server has ended: its context is not valid any more. */
struct ContextEnded
{
    std::string context_;

    bool operator==(const ContextEnded &) const = default;
};

/** The time of Home::nextWakeUp() has come. */
struct WakeUp
{
    bool operator==(const WakeUp &) const = default;
};

/** What a Home is told. */
using HomeEvent = std::variant<Request, HungUp, Chosen, NotChosen, ExecutorSaid, SendFailed,
                               ExecutorReplaced, ContextEnded, WakeUp>;

} // namespace once
