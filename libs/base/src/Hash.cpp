#include <base/Hash.h>

#include <xxhash.h>

namespace base {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}

} // namespace base
