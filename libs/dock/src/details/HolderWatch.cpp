#include "HolderWatch.h"

#include <utility>

#include <logclient/KeyedLog.h>

namespace dock::details {

namespace {

/** Between two questions to a daemon that does not answer, as it may be starting. */
constexpr base::Millis lookInterval(200);

} // namespace

HolderWatch::HolderWatch(logclient::KeyedLog &log, std::string topic, AllotterRecord self,
                         Hooks hooks)
    : log_(log)
    , topic_(std::move(topic))
    , self_(std::move(self))
    , hooks_(std::move(hooks))
{}

void HolderWatch::look(std::uint32_t group, std::uint64_t end, base::Millis now)
{
    auto &state = groups_.at(group);
    if (state.end_ != end)
        state = GroupState{.end_ = end};
    if (state.isUnreadable_ || state.isBusy_ || now < state.notBefore_)
        return;
    state.isBusy_ = true;
    state.notBefore_ = now + lookInterval;
    if (state.last_)
        identify(group, end);
    else
        read(group, end);
}

void HolderWatch::read(std::uint32_t group, std::uint64_t end)
{
    log_.readPartition(topic_, group, end - 1,
                       [this, group, end](const logclient::KeyedResult &result) {
                           auto &state = groups_[group];
                           if (state.end_ != end)
                               return;
                           state.isBusy_ = false;
                           if (result)
                               onRead(group, end, *result);
                       });
}

void HolderWatch::onRead(std::uint32_t group, std::uint64_t end, const logclient::KeyedPage &page)
{
    auto &state = groups_[group];
    for (const auto &record : page.records_) {
        if (record.offset_ == end - 1)
            state.last_ = AllotterRecord::parse(record.key_, record.value_);
    }
    if (!state.last_) {
        state.isUnreadable_ = true;
        return;
    }
    state.isBusy_ = true;
    identify(group, end);
}

void HolderWatch::identify(std::uint32_t group, std::uint64_t end)
{
    const auto conclude = [this, group, end](const std::optional<once::Incarnation> &running) {
        auto &state = groups_[group];
        if (state.end_ != end)
            return;
        state.isBusy_ = false;
        const auto &holder = state.last_->holder_;
        if (!running || running->id_ != holder.id_)
            return;
        if (running->generation_ > holder.generation_)
            hooks_.onEnded_(group, end);
        else if (*running == holder && holder != self_.holder_)
            hooks_.onRunning_(group, holder.id_);
    };
    const auto &last = *groups_[group].last_;
    if (last.controlAddress_ == self_.controlAddress_)
        conclude(self_.holder_);
    else
        hooks_.identify_(last.controlAddress_, conclude);
}

} // namespace dock::details
