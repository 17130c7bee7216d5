#include <follow/Core.h>

#include <utility>

namespace follow {

Core::Core(const Options &options)
    : options_(options)
    , backoff_(options.firstRetry_, options.longestRetry_, options.seed_)
{}

std::vector<Command> Core::handle(const Event &event)
{
    std::visit([this](const auto &one) { on(one); }, event);
    return std::exchange(commands_, {});
}

void Core::on(const Started &)
{
    readNewest({});
}

void Core::on(const ReadEnded &event)
{
    if (event.read_ != read_)
        return;
    if (event.result_) {
        backoff_.succeeded();
        noteReachable(true, {});
        take(*event.result_);
        return;
    }
    if (std::holds_alternative<logclient::Trimmed>(event.result_.error())) {
        readNewest({});
        return;
    }
    retryAfter(event.result_.error());
}

void Core::on(const RetryDue &event)
{
    if (event.read_ != read_)
        return;
    if (isReadingNewest_)
        readNewest(after_);
    else
        readOn();
}

// The outstanding read may hang on a connection that went silent, so it is abandoned.
void Core::on(const BehindOthers &)
{
    readNewest({});
}

void Core::on(const ToldByOthers &event)
{
    if (event.isTold_ == isTold_)
        return;
    isTold_ = event.isTold_;
    if (!isComplete_ || isReadingNewest_)
        return;
    if (isTold_)
        commands_.emplace_back(Retry{++read_, options_.toldInterval_});
    else
        readOn();
}

void Core::readNewest(std::string after)
{
    isReadingNewest_ = true;
    isFirstPage_ = after.empty();
    after_ = std::move(after);
    commands_.emplace_back(ReadNewest{++read_, after_});
}

void Core::readOn()
{
    isReadingNewest_ = false;
    const auto wait = isTold_ ? base::Millis(0) : options_.longPoll_;
    commands_.emplace_back(ReadFrom{++read_, offset_, wait});
}

void Core::take(const logclient::KeyedPage &page)
{
    if (!page.records_.empty())
        commands_.emplace_back(Deliver{page.records_});
    // Pages are no snapshot: what changed since the first one is read again from its end on.
    if (!isReadingNewest_ || isFirstPage_)
        offset_ = page.next_;
    if (isReadingNewest_ && page.hasMore_ && !page.records_.empty()) {
        readNewest(page.records_.back().key_);
        return;
    }
    isComplete_ = true;
    isReadingNewest_ = false;
    if (isTold_)
        commands_.emplace_back(Retry{++read_, options_.toldInterval_});
    else
        readOn();
}

void Core::retryAfter(const logclient::LogError &error)
{
    noteReachable(false, text(error));
    commands_.emplace_back(Retry{read_, backoff_.failed()});
}

void Core::noteReachable(bool isReachable, std::string detail)
{
    if (isReachable == isReachable_)
        return;
    isReachable_ = isReachable;
    commands_.emplace_back(LogStateChanged{isReachable, std::move(detail)});
}

} // namespace follow
