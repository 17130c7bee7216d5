#include <bench/Recovery.h>

#include <algorithm>
#include <cstddef>

namespace bench {

namespace {

constexpr base::Millis windowLength(500);
constexpr double normalCompletion = 0.95;

struct Window
{
    std::size_t sent_ = 0;
    std::size_t complete_ = 0;

    bool isNormal() const
    {
        return static_cast<double>(complete_) >= normalCompletion * static_cast<double>(sent_);
    }
};

std::size_t windowOf(base::Millis sinceStart)
{
    return static_cast<std::size_t>(sinceStart.micros() / windowLength.micros());
}

} // namespace

base::Millis recoveryTime(const std::vector<FinishedRequest> &requests, base::Millis from,
                          base::Millis to)
{
    std::vector<Window> windows(windowOf(to - from) + 1);
    for (const FinishedRequest &request : requests) {
        if (request.arrivedAt_ < from || request.arrivedAt_ >= to) {
            continue;
        }
        Window &window = windows[windowOf(request.arrivedAt_ - from)];
        ++window.sent_;
        window.complete_ += request.outcome_ == RequestOutcome::Complete ? 1 : 0;
    }
    const auto lastBad = std::find_if(windows.rbegin(), windows.rend(),
                                      [](const Window &window) { return !window.isNormal(); });
    const auto badWindows = std::distance(lastBad, windows.rend());
    return std::min(windowLength * badWindows, to - from);
}

} // namespace bench
