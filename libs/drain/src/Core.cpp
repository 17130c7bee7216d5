#include <drain/Core.h>

#include <algorithm>

namespace drain {

namespace {

/** Callers need this time to detect the drain, by two probes that are a second apart. */
constexpr base::Millis minDrainTime(2200);

/** The last sixth of the drain is for what runs; what has not started by then is taken back. */
constexpr int takeBackNumerator = 5;
constexpr int takeBackDenominator = 6;

/** For writing the answers of the last step. */
constexpr base::Millis finalWriteTime(200);

} // namespace

Core::Core(const Schedule &schedule, base::Millis startedAt)
    : schedule_(schedule)
    , startedAt_(startedAt)
{
    schedule_.timeout_ = std::max(schedule_.timeout_, minDrainTime);
}

/**
 * Until the handover, the backend server runs requests of other daemons, while this daemon waits
 * for the requests of its own callers.
 */
bool Core::isHandoverDue(const OpenWork &work, base::Millis elapsed) const
{
    return elapsed >= schedule_.handover_ || (elapsed >= minDrainTime && work.callerRequests_ == 0);
}

bool Core::accepts(const Expectation &request, base::Millis now) const
{
    // Until callers can have noticed the drain, they have nowhere else to go.
    if (now - startedAt_ < minDrainTime)
        return true;
    const auto left = startedAt_ + schedule_.timeout_ - finalWriteTime - now;
    return request.timeLeft_ <= left || (request.usualTime_ && *request.usualTime_ <= left);
}

bool Core::isDone(const OpenWork &work, base::Millis elapsed) const
{
    return elapsed >= minDrainTime && hasHandedOver_ && work == OpenWork();
}

std::vector<Step> Core::advance(const OpenWork &work, base::Millis now)
{
    std::vector<Step> steps;
    if (hasEnded_)
        return steps;
    const auto elapsed = now - startedAt_;
    // A request accepted from now on could still be running when the process has to exit.
    if (!isRefusingCallers_ && elapsed >= minDrainTime) {
        isRefusingCallers_ = true;
        steps.push_back(Step::RefuseCallers);
    }
    if (!hasHandedOver_ && isHandoverDue(work, elapsed)) {
        hasHandedOver_ = true;
        steps.push_back(Step::HandOver);
    }
    const auto takeBackAt =
            base::Millis(schedule_.timeout_.count() * takeBackNumerator / takeBackDenominator);
    if (isDone(work, elapsed) || now - answeredRestAt_ >= finalWriteTime) {
        hasEnded_ = true;
        steps.push_back(Step::End);
    } else if (!hasTakenBack_ && elapsed >= takeBackAt) {
        hasTakenBack_ = true;
        steps.push_back(Step::TakeBack);
    } else if (answeredRestAt_ == base::Millis::max() && elapsed >= schedule_.timeout_) {
        answeredRestAt_ = now;
        steps.push_back(Step::AnswerRest);
    }
    return steps;
}

} // namespace drain
