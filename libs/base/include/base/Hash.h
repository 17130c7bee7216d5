#pragma once

#include <cstdint>
#include <string_view>

namespace base {

/** 64-bit xxHash; the same on every machine. Not cryptographically secure. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/** Rendezvous weight of a node for a key: the node with the highest weight owns the key. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

} // namespace base
