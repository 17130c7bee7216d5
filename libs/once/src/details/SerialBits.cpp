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
    mark(serial, SerialUse::Unused);
    return serial;
}

void SerialBits::mark(std::uint64_t serial, SerialUse use)
{
    if (!isInWindow(serial))
        return;
    auto &word = words_[serial / serialsPerWord % words_.size()];
    word &= ~(serialMask << shiftOf(serial));
    word |= static_cast<std::uint64_t>(use) << shiftOf(serial);
}

SerialUse SerialBits::useOf(std::uint64_t serial) const
{
    if (!isInWindow(serial))
        return SerialUse::Forgotten;
    const auto word = words_[serial / serialsPerWord % words_.size()];
    return static_cast<SerialUse>(word >> shiftOf(serial) & serialMask);
}

bool SerialBits::isInWindow(std::uint64_t serial) const
{
    return serial < next_ && next_ - serial <= words_.size() * serialsPerWord;
}

} // namespace once::details
