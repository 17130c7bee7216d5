#pragma once

#include <cstdint>
#include <vector>

namespace once::details {

/** What is remembered of an issued serial when there is no record. */
enum class Use : std::uint8_t {
    Unused,
    Used,      ///< may have run
    Burned,    ///< never ran and never will
    Forgotten, ///< too old, or never issued
};

/** Two bits for each of the last serials issued. */
class SerialBits
{
public:
    /** Remembers that many serials, rounded up to 32. */
    explicit SerialBits(std::uint64_t window);

    /** The next serial, unused. Forgets the oldest one of the window. */
    std::uint64_t issue();

    /** Remembers the use of a serial; ignored when it is forgotten. */
    void mark(std::uint64_t serial, Use use);

    /** What is remembered. */
    Use useOf(std::uint64_t serial) const;

private:
    bool isRemembered(std::uint64_t serial) const;

    std::vector<std::uint64_t> words_;
    std::uint64_t next_ = 1;
};

} // namespace once::details
