#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/Random.h>
#include <retry/ContextTable.h>
#include <retry/Core.h>

/** Simulates a random tree of call sites in virtual time, with a Core and ContextTable for each. */
class CallTree
{
public:
    /** A tree with one path of the given depth and random branches. */
    CallTree(std::uint64_t seed, std::size_t depth, std::size_t branchSites);

    /** Schedules a call of the root at a random time. */
    void callRoot(const retry::Origin &origin);

    /** Runs all scheduled calls to their end. */
    void run();

    std::uint64_t firstCalls_ = 0;
    std::uint64_t attempts_ = 0;
    std::vector<std::uint64_t> executions_; ///< for each call site

private:
    using OnAnswer = std::function<void(retry::AttemptResult, std::optional<std::uint32_t>)>;

    struct Site
    {
        std::vector<std::size_t> children_;
        std::unique_ptr<retry::ContextTable> contexts_;
        std::unique_ptr<retry::Core> core_;
    };

    /** A call, with the state needed to make its attempts. */
    struct Call
    {
        std::size_t caller_ = 0; ///< site whose core decides on retries
        std::size_t callee_ = 0;
        std::uint32_t depth_ = 0; ///< of the callee
        std::function<void()> onEnd_;
    };

    void startCall(const Call &call, const retry::Origin &origin);
    void handleCommands(const Call &call, const std::vector<retry::Command> &commands);
    void attempt(const Call &call, const retry::StartAttempt &start);
    void execute(std::size_t site, std::uint32_t depth, std::uint32_t budget, OnAnswer onAnswer);
    void schedule(std::function<void()> function);

    base::Random random_;
    std::vector<Site> sites_;
    std::multimap<base::Millis, std::function<void()>> schedule_;
    base::Millis now_;
    retry::CallId nextCall_ = 1;
};

inline CallTree::CallTree(std::uint64_t seed, std::size_t depth, std::size_t branchSites)
    : random_(seed)
{
    retry::RetrySettings settings;
    settings.initialTokens_ = settings.maxTokens_ = 1e9;
    settings.maxOverloadRefusals_ = 1000;
    // Site 0 is the client, site 1 the root of the tree.
    const auto count = 1 + depth + branchSites;
    executions_.resize(count);
    for (std::size_t site = 0; site < count; ++site) {
        auto contexts = std::make_unique<retry::ContextTable>(std::to_string(site));
        auto core = std::make_unique<retry::Core>(settings, *contexts, seed + site);
        sites_.push_back(Site{{}, std::move(contexts), std::move(core)});
        if (site > 1 && site <= depth)
            sites_[site - 1].children_.push_back(site);
        else if (site > depth)
            sites_[1 + random_.below(site - 1)].children_.push_back(site);
    }
}

inline void CallTree::callRoot(const retry::Origin &origin)
{
    schedule([this, origin] {
        startCall(Call{0, 1, 0,
                       [] {
                       }},
                  origin);
    });
}

inline void CallTree::run()
{
    while (!schedule_.empty()) {
        auto next = schedule_.extract(schedule_.begin());
        now_ = next.key();
        next.mapped()();
    }
}

inline void CallTree::schedule(std::function<void()> function)
{
    const auto delay = base::Millis(static_cast<std::int64_t>(random_.below(50)));
    schedule_.emplace(now_ + delay, std::move(function));
}

inline void CallTree::startCall(const Call &call, const retry::Origin &origin)
{
    const retry::CallStarted event{.call_ = nextCall_++,
                                   .origin_ = origin,
                                   .idempotent_ = true,
                                   .deadline_ = base::Millis::max()};
    handleCommands(call, sites_[call.caller_].core_->handle(event, now_));
}

inline void CallTree::handleCommands(const Call &call, const std::vector<retry::Command> &commands)
{
    for (const auto &command : commands) {
        if (const auto *start = std::get_if<retry::StartAttempt>(&command))
            attempt(call, *start);
        else
            call.onEnd_();
    }
}

inline void CallTree::attempt(const Call &call, const retry::StartAttempt &start)
{
    using retry::AttemptResult;
    ++attempts_;
    firstCalls_ += start.attempt_ == 1;
    const auto end = [this, call, start](AttemptResult result,
                                         std::optional<std::uint32_t> remaining) {
        const retry::AttemptEnded event{start.call_, start.attempt_, result, "", remaining};
        handleCommands(call, sites_[call.caller_].core_->handle(event, now_));
        if (result == AttemptResult::Answered)
            call.onEnd_();
        // Duplicates the answer.
        if (random_.below(2) == 0)
            schedule([=, this] {
                handleCommands(call, sites_[call.caller_].core_->handle(event, now_));
            });
    };
    const auto fault = random_.below(8);
    if (fault == 0) {
        schedule([end] { end(AttemptResult::NotSent, std::nullopt); });
        return;
    }
    if (fault == 1) {
        schedule([end] { end(AttemptResult::Overloaded, std::nullopt); });
        return;
    }
    if (fault == 2)
        schedule([end] { end(AttemptResult::Lost, std::nullopt); });
    if (fault == 3) {
        schedule([end] { end(AttemptResult::Lost, std::nullopt); });
        return;
    }
    const bool isAnswerLost = fault == 2;
    schedule([this, call, start, end, isAnswerLost] {
        execute(call.callee_, call.depth_, start.calleeBudget_, [=](auto result, auto remaining) {
            if (!isAnswerLost)
                end(result, remaining);
        });
    });
}

inline void CallTree::execute(std::size_t site, std::uint32_t depth, std::uint32_t budget,
                              OnAnswer onAnswer)
{
    ++executions_[site];
    const auto token =
            sites_[site].contexts_->open({.budget_ = retry::ChainBudget(budget), .depth_ = depth});
    const auto &children = sites_[site].children_;
    const auto answer = [this, site, token, onAnswer] {
        const auto remaining = sites_[site].contexts_->close(*token);
        const bool isFailed = random_.below(3) == 0;
        const auto result =
                isFailed ? retry::AttemptResult::NotRun : retry::AttemptResult::Answered;
        schedule([=] { onAnswer(result, remaining); });
    };
    // Some sites answer before all of their own calls have ended.
    const auto needed = children.size() - (random_.below(4) == 0 && !children.empty() ? 1 : 0);
    if (needed == 0)
        schedule(answer);
    const auto ended = std::make_shared<std::size_t>(0);
    for (const auto child : children) {
        const Call call{site, child, depth + 1, [=] {
                            if (++*ended == needed)
                                answer();
                        }};
        schedule([this, call, token] { startCall(call, retry::ChildCall{*token}); });
    }
}
