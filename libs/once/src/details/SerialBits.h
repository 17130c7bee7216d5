#pragma once

#include <cstdint>
#include <vector>

namespace once::details {

/** One bit for each of the last serials issued: whether the key was ever used. */
class SerialBits
{
public:
    /** Remembers that many serials, rounded up to 64. */
    explicit SerialBits(std::uint64_t window);

    /** The next serial, unused. Forgets the oldest one of the window. */
    std::uint64_t issue();

    /** Marks an issued serial as used; ignored when it is forgotten. */
    void use(std::uint64_t serial);

    /** Whether it is known that the serial was issued and never used. */
    bool isProvablyUnused(std::uint64_t serial) const;

    /** Whether the serial was issued and is within the window. */
    bool isRemembered(std::uint64_t serial) const;

private:
    std::vector<std::uint64_t> words_;
    std::uint64_t next_ = 1;
};

} // namespace once::details
