#include <events/Log.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <events/Catalogue.h>
#include <gtest/gtest.h>

namespace {

/** A pipe in place of standard output, read only when the test says so. */
class PipedOutput
{
public:
    PipedOutput()
        : original_(::dup(STDOUT_FILENO))
    {
        EXPECT_EQ(::pipe2(ends_.data(), O_NONBLOCK), 0);
        ::fcntl(ends_[1], F_SETFL, 0);
        ::dup2(ends_[1], STDOUT_FILENO);
    }
    ~PipedOutput()
    {
        ::dup2(original_, STDOUT_FILENO);
        for (const int descriptor : {original_, ends_[0], ends_[1]})
            ::close(descriptor);
    }
    PipedOutput(const PipedOutput &) = delete;
    PipedOutput &operator=(const PipedOutput &) = delete;

    /** All text that the log gives without a further event. */
    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> part = {};
        for (ssize_t size = 0; (size = ::read(ends_[0], part.data(), part.size())) > 0;
             events::flushLog())
            text.append(part.data(), static_cast<std::size_t>(size));
        return text;
    }

private:
    const int original_;
    std::array<int, 2> ends_ = {};
};

} // namespace

TEST(Log, reportsDroppedLinesWithoutAFurtherEvent)
{
    const PipedOutput output;
    events::setUpLog("info", "d1");
    constexpr int count = 10'000;
    for (int i = 0; i < count; ++i)
        events::log(events::started, std::string(90, '.'));
    const auto text = output.readAll();
    EXPECT_NE(text.find("WARNING d1 E110 log-lines-dropped lines="), std::string::npos);
    EXPECT_EQ(text.rfind("E110"), text.find("E110")) << "reported once";
}
