#pragma once

#include <events/Event.h>

namespace events {

// 1xx: process
inline constexpr Event started = {100, Severity::Info, "started"};
inline constexpr Event startFailed = {101, Severity::Error, "start-failed"};
inline constexpr Event drainBegan = {102, Severity::Info, "drain-began"};
inline constexpr Event drainEnded = {103, Severity::Info, "drain-ended"};
inline constexpr Event drainTimedOut = {104, Severity::Warning, "drain-timed-out"};

inline constexpr Event settingsRead = {105, Severity::Info, "settings-read"};
inline constexpr Event settingsRefused = {106, Severity::Error, "settings-refused"};
inline constexpr Event memoryShort = {107, Severity::Warning, "memory-short"};
inline constexpr Event requestLeft = {108, Severity::Warning, "request-left"};
inline constexpr Event signalInDrain = {109, Severity::Warning, "signal-in-drain"};
inline constexpr Event logLinesDropped = {110, Severity::Warning, "log-lines-dropped"};

// 2xx: the local backend server
inline constexpr Event backendAnnounced = {200, Severity::Info, "backend-announced"};
inline constexpr Event backendLeft = {201, Severity::Info, "backend-left"};
inline constexpr Event backendSilent = {202, Severity::Warning, "backend-silent"};
inline constexpr Event heartbeatIgnored = {203, Severity::Warning, "heartbeat-ignored"};

inline constexpr Event slotSample = {204, Severity::Debug, "slot-sample"};

// 3xx: requests
inline constexpr Event outcomeUnknown = {300, Severity::Warning, "outcome-unknown"};
inline constexpr Event requestNotRun = {301, Severity::Info, "request-not-run"};
inline constexpr Event delegatedAgain = {302, Severity::Info, "delegated-again"};
inline constexpr Event backendFailed = {303, Severity::Info, "backend-failed"};
inline constexpr Event requestDenied = {306, Severity::Info, "request-denied"};

// 4xx: configuration and membership
inline constexpr Event configInForce = {400, Severity::Info, "config-in-force"};
inline constexpr Event membersChanged = {401, Severity::Debug, "members-changed"};
inline constexpr Event isolated = {402, Severity::Warning, "isolated"};

inline constexpr Event generationRaised = {403, Severity::Warning, "generation-raised"};
inline constexpr Event configRefused = {404, Severity::Warning, "config-refused"};
inline constexpr Event configReceived = {405, Severity::Info, "config-received"};

// 5xx: the platform's log
inline constexpr Event logLost = {500, Severity::Warning, "log-lost"};
inline constexpr Event logRegained = {501, Severity::Info, "log-regained"};
inline constexpr Event meetingFailed = {502, Severity::Warning, "meeting-failed"};
inline constexpr Event logReaderChanged = {503, Severity::Info, "log-reader-changed"};

// 6xx: allowances of customers
inline constexpr Event allotterBegan = {600, Severity::Info, "allotter-began"};
inline constexpr Event allotterEnded = {601, Severity::Info, "allotter-ended"};
inline constexpr Event allotterHandedOver = {602, Severity::Info, "allotter-handed-over"};
inline constexpr Event allowanceSpent = {603, Severity::Info, "allowance-spent"};
inline constexpr Event allowancesIgnored = {604, Severity::Warning, "allowances-ignored"};

} // namespace events
