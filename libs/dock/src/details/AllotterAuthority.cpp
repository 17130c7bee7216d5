#include "AllotterAuthority.h"

#include <algorithm>
#include <utility>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <logclient/KeyedLog.h>

namespace dock::details {

namespace {

constexpr base::Millis tickInterval(50);

/** Short, as the lease runs from when an append was sent first. */
constexpr base::Millis appendTimeout(400);

allowance::AppendResult resultOf(const logclient::ConditionalResult &result)
{
    return std::visit(base::Overloaded{
                              [](const logclient::Appended &appended) -> allowance::AppendResult {
                                  return allowance::Appended{appended.end_};
                              },
                              [](const logclient::EndMoved &moved) -> allowance::AppendResult {
                                  return allowance::EndMoved{moved.end_};
                              },
                              [](const logclient::LogError &) -> allowance::AppendResult {
                                  return allowance::NoAnswer{};
                              },
                      },
                      result);
}

} // namespace

AllotterAuthority::AllotterAuthority(net::Reactor &reactor, logclient::KeyedLog &log,
                                     std::string topic, const AllotterRecord &self,
                                     Identify identify, const SourceHooks &hooks)
    : reactor_(reactor)
    , log_(log)
    , topic_(std::move(topic))
    , self_(self)
    , process_(self.holder_.id_ + "-" + std::to_string(self.holder_.generation_) + "-")
    , hooks_(hooks)
    , groups_{GroupState{allowance::Authority(settings_), {}, {}, false},
              GroupState{allowance::Authority(settings_), {}, {}, false},
              GroupState{allowance::Authority(settings_), {}, {}, false},
              GroupState{allowance::Authority(settings_), {}, {}, false}}
    , watch_(log, topic_, self,
             {.identify_ = std::move(identify),
              .onEnded_ = [this](std::uint32_t group, std::uint64_t end) { onEnded(group, end); },
              .onRunning_ =
                      [this](std::uint32_t group, const std::string &id) {
                          hooks_.sendToDataTask_(AllotterSeen{group, id});
                      }})
{}

AllotterAuthority::~AllotterAuthority()
{
    reactor_.cancel(timer_);
}

void AllotterAuthority::claim(const ClaimAuthority &claim)
{
    if (isReleased_)
        return;
    const auto now = base::elapsedNow();
    auto &group = groups_.at(claim.group_);
    if (claim.handOverEnd_)
        group.authority_.claimAfterHandOver(*claim.handOverEnd_, now);
    else
        group.authority_.claim(now);
    group.activeUntil_ = now + settings_.claimFor_;
    advance(claim.group_);
    scheduleTick();
}

void AllotterAuthority::onEndHeard(const PartitionEndHeard &heard)
{
    groups_.at(heard.group_).authority_.onEndHeard(heard.end_, base::elapsedNow());
    report(heard.group_);
}

void AllotterAuthority::release()
{
    if (std::exchange(isReleased_, true))
        return;
    for (std::uint32_t index = 0; index < groups_.size(); ++index) {
        if (const auto end = groups_[index].authority_.release())
            hooks_.sendToDataTask_(AuthorityReleased{index, *end});
    }
}

void AllotterAuthority::advance(std::uint32_t group)
{
    auto &state = groups_[group];
    if (state.isInFlight_)
        return;
    const auto now = base::elapsedNow();
    if (const auto append = state.authority_.due(now)) {
        state.isInFlight_ = true;
        send(group, *append);
    } else if (const auto end = state.authority_.awaitedEnd(now)) {
        watch_.look(group, *end, now);
    }
}

void AllotterAuthority::onEnded(std::uint32_t group, std::uint64_t end)
{
    if (isReleased_)
        return;
    groups_[group].authority_.onHolderEnded(end, base::elapsedNow());
    advance(group);
}

void AllotterAuthority::send(std::uint32_t group, const allowance::Append &append)
{
    log_.appendAt({.topic_ = topic_,
                   .partition_ = group,
                   .expectedEnd_ = append.expectedEnd_,
                   .key_ = self_.holder_.id_,
                   .value_ = self_.encode(),
                   .producer_ = process_ + std::to_string(append.series_),
                   .sequence_ = append.sequence_,
                   .timeout_ = appendTimeout},
                  [this, group, append](const logclient::ConditionalResult &result) {
                      auto &state = groups_[group];
                      state.isInFlight_ = false;
                      if (isReleased_)
                          return;
                      state.authority_.onResult(append, resultOf(result), base::elapsedNow());
                      report(group);
                      advance(group);
                  });
}

/** Tells the data task about the authority, if that has changed. */
void AllotterAuthority::report(std::uint32_t group)
{
    auto &state = groups_[group];
    const auto now = base::elapsedNow();
    const auto tenure = state.authority_.tenure(now);
    if (tenure == state.reported_)
        return;
    const auto detail = "group=" + std::to_string(group);
    if (!tenure)
        events::log(events::allotterEnded, detail);
    else if (!state.reported_ || state.reported_->fence_ != tenure->fence_)
        events::log(events::allotterBegan,
                    detail + " fence=" + std::to_string(tenure->fence_) + " quietFor="
                            + std::to_string(
                                    std::max(base::Millis(), tenure->quietUntil_ - now).count())
                            + "ms");
    state.reported_ = tenure;
    hooks_.sendToDataTask_(TenureChanged{group, tenure});
}

void AllotterAuthority::scheduleTick()
{
    if (timer_ == 0)
        timer_ = reactor_.schedule(tickInterval, [this] { tick(); });
}

void AllotterAuthority::tick()
{
    timer_ = 0;
    const auto now = base::elapsedNow();
    bool isActive = false;
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        if (isReleased_ || now >= groups_[group].activeUntil_)
            continue;
        isActive = true;
        advance(group);
    }
    if (isActive)
        scheduleTick();
}

} // namespace dock::details
