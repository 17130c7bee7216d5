#include <bench/Recovery.h>

#include <algorithm>
#include <cstddef>

namespace bench {

namespace {

constexpr base::Millis windowDuration(500);
constexpr double minCompletionRatio = 0.95;

struct Window
{
    std::size_t sent_ = 0;
    std::size_t complete_ = 0;

    bool isRecovered() const
    {
        return static_cast<double>(complete_) >= minCompletionRatio * static_cast<double>(sent_);
    }
};

std::size_t windowIndex(base::Millis sinceStart)
{
    return static_cast<std::size_t>(sinceStart.micros() / windowDuration.micros());
}

} // namespace

base::Millis recoveryTime(const std::vector<FinishedRequest> &requests, base::Millis from,
                          base::Millis to)
{
    std::vector<Window> windows(windowIndex(to - from) + 1);
    for (const FinishedRequest &request : requests) {
        if (request.arrivedAt_ < from || request.arrivedAt_ >= to) {
            continue;
        }
        Window &window = windows[windowIndex(request.arrivedAt_ - from)];
        ++window.sent_;
        window.complete_ += request.outcome_ == RequestOutcome::Complete ? 1 : 0;
    }
    const auto lastUnrecovered =
            std::find_if(windows.rbegin(), windows.rend(),
                         [](const Window &window) { return !window.isRecovered(); });
    const auto windowsUntilRecovery = std::distance(lastUnrecovered, windows.rend());
    return std::min(windowDuration * windowsUntilRecovery, to - from);
}

} // namespace bench
