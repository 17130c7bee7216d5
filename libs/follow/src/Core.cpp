#include <follow/Core.h>

#include <algorithm>
#include <utility>

namespace follow {

Core::Core(const Options &options)
    : options_(options)
    , duty_(options)
    , backoff_(options.firstRetryDelay_, options.maxRetryDelay_, options.seed_)
{}

std::vector<Command> Core::handle(const Event &event, base::Millis now)
{
    now_ = now;
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    advance();
    return std::exchange(commands_, {});
}

void Core::on(const Started &)
{
    startOver();
}

void Core::on(const ReadEnded &event)
{
    if (event.read_ != currentRead_ || !isReadOutstanding_)
        return;
    isReadOutstanding_ = false;
    if (event.result_) {
        backoff_.reset();
        setReachable(true, {});
        handlePage(*event.result_);
        return;
    }
    if (std::holds_alternative<logclient::Trimmed>(event.result_.error())) {
        startOver();
        return;
    }
    scheduleRetry(event.result_.error());
}

void Core::on(const RecordsHandled &event)
{
    isNewestInForce_ = event.isNewestInForce_;
    confirmCoverage();
}

// Also if it is early, another timer has to be requested.
void Core::on(const TimerExpired &)
{
    wakeAt_ = base::Millis::max();
}

// The outstanding read may hang on a dead connection, so it is abandoned.
void Core::on(const PeerAhead &)
{
    startOver();
}

void Core::on(const PeersChanged &event)
{
    duty_.setPeers(event.peers_, now_);
}

void Core::on(const RevisionInForce &event)
{
    duty_.setRevision(event.revision_);
}

void Core::on(const InquiryEnded &event)
{
    if (auto fetch = duty_.onAnswer(event, now_))
        commands_.emplace_back(std::move(*fetch));
}

/** Takes all steps that are due, after any event. */
void Core::advance()
{
    for (auto &inquiry : duty_.advance(now_))
        commands_.emplace_back(std::move(inquiry));
    reportDuty();
    reportEvidence();
    if (!isReadOutstanding_ && now_ >= nextRead_ && (mustRead_ || duty_.isReading()))
        read();
    wakeForNextStep();
}

void Core::reportDuty()
{
    if (duty_.isReading() == reportedReading_)
        return;
    reportedReading_ = duty_.isReading();
    commands_.emplace_back(
            DutyChanged{reportedReading_, duty_.isElected(), duty_.evidenceAge(now_)});
}

void Core::reportEvidence()
{
    if (duty_.confirmedAt() == reportedEvidence_)
        return;
    reportedEvidence_ = duty_.confirmedAt();
    commands_.emplace_back(EvidenceAdvanced{*reportedEvidence_});
}

/** Abandons the outstanding read, if any, and reads all keys as soon as possible. */
void Core::startOver()
{
    isReadOutstanding_ = false;
    isReadingNewest_ = true;
    coveredUntil_.reset();
    afterKey_.clear();
    nextRead_ = now_;
    mustRead_ = true;
}

void Core::read()
{
    isReadOutstanding_ = true;
    readStartedAt_ = now_;
    ++currentRead_;
    if (isReadingNewest_) {
        if (afterKey_.empty())
            snapshotAt_ = now_;
        commands_.emplace_back(ReadNewest{currentRead_, afterKey_});
    } else {
        readWait_ = nextWait();
        commands_.emplace_back(ReadFrom{currentRead_, nextOffset_, readWait_});
    }
}

/** Old evidence is renewed at once, by a read that does not wait, if a read can renew it. */
base::Millis Core::nextWait() const
{
    if (!isNewestInForce_)
        return options_.readWait_;
    const auto age = coveredUntil_ ? std::min(duty_.evidenceAge(now_), now_ - *coveredUntil_)
                                   : duty_.evidenceAge(now_);
    return age > options_.readWait_ / 2 ? base::Millis() : options_.readWait_;
}

void Core::handlePage(const logclient::KeyedPage &page)
{
    if (!page.records_.empty())
        commands_.emplace_back(DeliverRecords{page.records_});
    // The pages are not a consistent snapshot: reading continues from the end of the topic as of
    // the first page, so that changes made since then are read as well.
    if (!isReadingNewest_ || afterKey_.empty())
        nextOffset_ = page.next_;
    if (isReadingNewest_ && page.hasMore_ && !page.records_.empty()) {
        afterKey_ = page.records_.back().key_;
        return;
    }
    // An empty answer after the whole wait was given when the wait had elapsed at the log.
    const bool hasWaited = page.records_.empty() && now_ - readStartedAt_ >= readWait_;
    coveredUntil_ = isReadingNewest_ ? snapshotAt_
                                     : readStartedAt_ + (hasWaited ? readWait_ : base::Millis());
    isComplete_ = true;
    isReadingNewest_ = false;
    mustRead_ = false;
    if (page.records_.empty())
        confirmCoverage();
}

/**
 * The last read is evidence for the revision in force only if no newer record was read that could
 * not be applied.
 */
void Core::confirmCoverage()
{
    if (const auto coveredUntil = std::exchange(coveredUntil_, std::nullopt);
        coveredUntil && isNewestInForce_)
        duty_.confirm(*coveredUntil);
}

void Core::scheduleRetry(const logclient::LogError &error)
{
    setReachable(false, text(error));
    nextRead_ =
            now_ + backoff_.nextDelay() * (duty_.isElected() ? 1 : options_.standInRetryFactor_);
}

void Core::setReachable(bool isReachable, std::string detail)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    commands_.emplace_back(LogStateChanged{isReachable, std::move(detail)});
}

void Core::wakeForNextStep()
{
    auto next = duty_.nextStep();
    if (!isReadOutstanding_ && (mustRead_ || duty_.isReading()))
        next = std::min(next, nextRead_);
    if (next == wakeAt_ || next == base::Millis::max())
        return;
    wakeAt_ = next;
    commands_.emplace_back(WakeAt{next});
}

} // namespace follow
