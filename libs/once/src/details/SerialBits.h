#pragma once

#include <cstdint>
#include <vector>

namespace once::details {

/** State of an issued serial that has no record. */
enum class SerialUse : std::uint8_t {
    Unused,
    Used,      ///< may have run
    Burned,    ///< never ran and never will
    Forgotten, ///< too old, or never issued
};

/** State of the most recently issued serials, two bits each. */
class SerialBits
{
public:
    /** Tracks the given number of serials, rounded up to a multiple of 32. */
    explicit SerialBits(std::uint64_t window);

    /** Issues the next serial as Unused. The oldest serial leaves the window. */
    std::uint64_t issue();

    /** Sets the state of a serial; ignored outside the window. */
    void mark(std::uint64_t serial, SerialUse use);

    /** State of a serial; Forgotten outside the window. */
    SerialUse useOf(std::uint64_t serial) const;

private:
    bool isInWindow(std::uint64_t serial) const;

    std::vector<std::uint64_t> words_;
    std::uint64_t next_ = 1;
};

} // namespace once::details
