#include <follow/Core.h>

#include <utility>

namespace follow {

Core::Core(const Options &options)
    : options_(options)
    , backoff_(options.firstRetryDelay_, options.maxRetryDelay_, options.seed_)
{}

std::vector<Command> Core::handle(const Event &event)
{
    std::visit([this](const auto &alternative) { on(alternative); }, event);
    return std::exchange(commands_, {});
}

void Core::on(const Started &)
{
    readNewest({});
}

void Core::on(const ReadEnded &event)
{
    if (event.read_ != currentRead_)
        return;
    if (event.result_) {
        backoff_.reset();
        setReachable(true, {});
        handlePage(*event.result_);
        return;
    }
    if (std::holds_alternative<logclient::Trimmed>(event.result_.error())) {
        readNewest({});
        return;
    }
    scheduleRetry(event.result_.error());
}

void Core::on(const ReadDue &event)
{
    if (event.read_ != currentRead_)
        return;
    if (isReadingNewest_)
        readNewest(afterKey_);
    else
        readNext();
}

// The outstanding read may hang on a dead connection, so it is abandoned.
void Core::on(const PeerAhead &)
{
    readNewest({});
}

void Core::on(const PeerNotifications &event)
{
    if (event.isNotified_ == isNotified_)
        return;
    isNotified_ = event.isNotified_;
    if (!isComplete_ || isReadingNewest_)
        return;
    if (isNotified_)
        commands_.emplace_back(ScheduleRead{++currentRead_, options_.notifiedReadInterval_});
    else
        readNext();
}

void Core::readNewest(std::string after)
{
    isReadingNewest_ = true;
    isFirstPage_ = after.empty();
    afterKey_ = std::move(after);
    commands_.emplace_back(ReadNewest{++currentRead_, afterKey_});
}

void Core::readNext()
{
    isReadingNewest_ = false;
    const auto wait = isNotified_ ? base::Millis(0) : options_.longPollTimeout_;
    commands_.emplace_back(ReadFrom{++currentRead_, nextOffset_, wait});
}

void Core::handlePage(const logclient::KeyedPage &page)
{
    if (!page.records_.empty())
        commands_.emplace_back(DeliverRecords{page.records_});
    // The pages are not a consistent snapshot: reading continues from the end of the topic as of
    // the first page, so that changes made since then are read as well.
    if (!isReadingNewest_ || isFirstPage_)
        nextOffset_ = page.next_;
    if (isReadingNewest_ && page.hasMore_ && !page.records_.empty()) {
        readNewest(page.records_.back().key_);
        return;
    }
    isComplete_ = true;
    isReadingNewest_ = false;
    if (isNotified_)
        commands_.emplace_back(ScheduleRead{++currentRead_, options_.notifiedReadInterval_});
    else
        readNext();
}

void Core::scheduleRetry(const logclient::LogError &error)
{
    setReachable(false, text(error));
    commands_.emplace_back(ScheduleRead{currentRead_, backoff_.nextDelay()});
}

void Core::setReachable(bool isReachable, std::string detail)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    commands_.emplace_back(LogStateChanged{isReachable, std::move(detail)});
}

} // namespace follow
