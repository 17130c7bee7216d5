#pragma once

#include <cstdint>

/** Size and seed of a run. */
struct RunOptions
{
    unsigned members_ = 100;
    unsigned dataCentres_ = 5;
    unsigned seconds_ = 60;
    std::uint64_t seed_ = 1;
    std::uint16_t firstPort_ = 21000;
};

/** All daemons as cores in virtual time: traffic, spreading, detection, mass restart, heal. */
void runVirtual(const RunOptions &options);

/** One core that is fed what it would receive among so many members: its own cost alone. */
void runFed(const RunOptions &options);

/** Services with sockets on loopback in real time, on four threads. */
void runLoopback(const RunOptions &options);
