#include <details/LineWriter.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <vector>

#include <fcntl.h>
#include <sys/socket.h>
#include <termios.h>
#include <unistd.h>

#include <gtest/gtest.h>

using base::Millis;
using events::details::LineWriter;

namespace {

constexpr std::size_t maxBytes = 10'000;

enum class Kind { Pipe, Sockets, Terminal };

/** Opens both ends; true on success. */
bool openEnds(Kind kind, std::array<int, 2> &ends)
{
    switch (kind) {
    case Kind::Pipe:
        return ::pipe(ends.data()) == 0;
    case Kind::Sockets:
        return ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0;
    case Kind::Terminal:
        ends[0] = ::posix_openpt(O_RDWR | O_NOCTTY);
        if (::grantpt(ends[0]) != 0 || ::unlockpt(ends[0]) != 0)
            return false;
        ends[1] = ::open(::ptsname(ends[0]), O_RDWR | O_NOCTTY);
        termios mode = {};
        ::cfmakeraw(&mode);
        return ::tcsetattr(ends[1], TCSANOW, &mode) == 0;
    }
    return false;
}

/** A channel whose reader reads only when the test says so. */
class Channel
{
public:
    explicit Channel(Kind kind)
    {
        EXPECT_TRUE(openEnds(kind, ends_));
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    ~Channel()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    int writeEnd() const { return ends_[1]; }

    /** Text that can be read now. */
    std::string read() const
    {
        std::string text;
        std::array<char, 4096> part = {};
        for (ssize_t size = 0; (size = ::read(ends_[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(size));
        return text;
    }

private:
    std::array<int, 2> ends_ = {};
};

std::string line(int number)
{
    return std::to_string(number) + std::string(90, '.') + "\n";
}

/** Numbers of the lines in the text, all of which have to be whole. */
std::vector<int> numbersOf(const std::string &text)
{
    std::vector<int> numbers;
    for (std::size_t begin = 0; begin < text.size();) {
        const int number = std::atoi(text.c_str() + begin);
        const auto whole = line(number);
        EXPECT_EQ(text.substr(begin, whole.size()), whole);
        numbers.push_back(number);
        begin += whole.size();
    }
    return numbers;
}

} // namespace

class LineWriterTest : public testing::TestWithParam<Kind>
{};

TEST_P(LineWriterTest, writesAtOnceWhatTheReaderTakes)
{
    const Channel channel(GetParam());
    LineWriter writer(channel.writeEnd(), maxBytes);
    writer.write(line(1));
    EXPECT_EQ(channel.read(), line(1));
    EXPECT_EQ(writer.takeDropped(), 0U);
}

TEST_P(LineWriterTest, doesNotWaitForAReaderThatStops)
{
    const Channel channel(GetParam());
    LineWriter writer(channel.writeEnd(), maxBytes);
    constexpr int count = 50'000;
    for (int i = 0; i < count; ++i)
        writer.write(line(i));
    EXPECT_EQ(writer.takeDropped(), 0U) << "reported while there is no room for a report";

    std::string text;
    for (std::string part = channel.read(); !part.empty(); part = channel.read()) {
        text += part;
        writer.flush();
    }
    const auto numbers = numbersOf(text);
    ASSERT_FALSE(numbers.empty());
    EXPECT_EQ(std::adjacent_find(numbers.begin(), numbers.end(), std::greater_equal<>()),
              numbers.end())
            << "in order";
    EXPECT_EQ(writer.takeDropped(), static_cast<std::uint64_t>(count) - numbers.size());
    // The kernel makes room in a terminal some time after a write, so lines between may be missing.
    if (GetParam() != Kind::Terminal) {
        EXPECT_EQ(numbers.back() + 1, static_cast<int>(numbers.size())) << "the first lines";
    }
    writer.write(line(count));
    EXPECT_EQ(channel.read(), line(count));
}

TEST_P(LineWriterTest, waitsForTheReaderAtTheEndWithinABound)
{
    const Channel channel(GetParam());
    LineWriter writer(channel.writeEnd(), maxBytes);
    for (int i = 0; i < 50'000; ++i)
        writer.write(line(i));
    writer.flushWithin(Millis(20));
    EXPECT_FALSE(channel.read().empty());
    writer.flushWithin(Millis(20));
    EXPECT_FALSE(channel.read().empty());
}

INSTANTIATE_TEST_SUITE_P(Channels, LineWriterTest,
                         testing::Values(Kind::Pipe, Kind::Sockets, Kind::Terminal));
