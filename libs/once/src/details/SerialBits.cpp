#include <details/SerialBits.h>

namespace once::details {

namespace {

constexpr std::uint64_t bitsPerWord = 64;

std::uint64_t bitOf(std::uint64_t serial)
{
    return std::uint64_t{1} << (serial % bitsPerWord);
}

} // namespace

SerialBits::SerialBits(std::uint64_t window)
    : words_((window + bitsPerWord - 1) / bitsPerWord)
{}

std::uint64_t SerialBits::issue()
{
    const auto serial = next_++;
    words_[(serial / bitsPerWord) % words_.size()] &= ~bitOf(serial);
    return serial;
}

void SerialBits::use(std::uint64_t serial)
{
    if (isRemembered(serial))
        words_[(serial / bitsPerWord) % words_.size()] |= bitOf(serial);
}

bool SerialBits::isProvablyUnused(std::uint64_t serial) const
{
    return isRemembered(serial)
           && (words_[(serial / bitsPerWord) % words_.size()] & bitOf(serial)) == 0;
}

bool SerialBits::isRemembered(std::uint64_t serial) const
{
    return serial < next_ && next_ - serial <= words_.size() * bitsPerWord;
}

} // namespace once::details
