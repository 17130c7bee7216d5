#include <details/SerialBits.h>

namespace once::details {

namespace {

constexpr std::uint64_t serialsPerWord = 32;
constexpr std::uint64_t bitsPerSerial = 2;
constexpr std::uint64_t serialMask = 3;

std::uint64_t shiftOf(std::uint64_t serial)
{
    return serial % serialsPerWord * bitsPerSerial;
}

} // namespace

SerialBits::SerialBits(std::uint64_t window)
    : words_((window + serialsPerWord - 1) / serialsPerWord)
{}

std::uint64_t SerialBits::issue()
{
    const auto serial = next_++;
    mark(serial, Use::Unused);
    return serial;
}

void SerialBits::mark(std::uint64_t serial, Use use)
{
    if (!isRemembered(serial))
        return;
    auto &word = words_[serial / serialsPerWord % words_.size()];
    word &= ~(serialMask << shiftOf(serial));
    word |= static_cast<std::uint64_t>(use) << shiftOf(serial);
}

Use SerialBits::useOf(std::uint64_t serial) const
{
    if (!isRemembered(serial))
        return Use::Forgotten;
    const auto word = words_[serial / serialsPerWord % words_.size()];
    return static_cast<Use>(word >> shiftOf(serial) & serialMask);
}

bool SerialBits::isRemembered(std::uint64_t serial) const
{
    return serial < next_ && next_ - serial <= words_.size() * serialsPerWord;
}

} // namespace once::details
