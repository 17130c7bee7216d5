#pragma once

#include <cstddef>

/** Limits of release notes and of the folded state; they must be the same in every daemon. */
namespace note::limits {

constexpr std::size_t noteBytes = 256 * 1024;
constexpr std::size_t recordBytes = 8 * 1024 * 1024;
constexpr std::size_t changesPerNote = 1000;
constexpr std::size_t faultsReported = 100;
constexpr std::size_t nameBytes = 64;
constexpr std::size_t pathBytes = 256;
constexpr std::size_t services = 256;
constexpr std::size_t classes = 2048;
constexpr std::size_t customers = 8192;
constexpr std::size_t keysPerCustomer = 16;
constexpr std::size_t keys = 32768; ///< of all customers
constexpr std::size_t outcomesKept = 512;
constexpr std::size_t withdrawnKept = 1024;
constexpr std::size_t pendingRecords = 4096;

} // namespace note::limits
