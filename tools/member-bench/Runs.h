#pragma once

#include <cstdint>

/** Size, duration, seed and ports of a run. */
struct RunOptions
{
    unsigned members_ = 100;
    unsigned dataCentres_ = 5;
    unsigned seconds_ = 60;
    std::uint64_t seed_ = 1;
    std::uint16_t firstPort_ = 21000;
};

/**
 * Simulates the cores of all daemons in virtual time.
 *
 * Measures traffic, propagation, failure detection, mass restart and recovery from a partition.
 */
void runVirtual(const RunOptions &options);

/** Measures the cost of a single core that receives the traffic of a cluster of that size. */
void runFed(const RunOptions &options);

/** Measures gossip services with sockets on loopback in real time, on four threads. */
void runLoopback(const RunOptions &options);
