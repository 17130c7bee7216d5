#pragma once

#include "TestSystem.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace dock::testing {

using net::HttpRequest;
using net::HttpResponse;

inline constexpr int slots = 16;

inline std::string headerOf(const HttpResponse &response, const char *name)
{
    return std::string(net::headerValue(response.headers_, name));
}

inline std::string outcomeOf(const HttpResponse &response)
{
    return headerOf(response, "Fuchsiadock-Outcome");
}

/** An entry daemon and two instances of the service "wallet" with their daemons. */
class ThreeDaemons : public ::testing::Test
{
protected:
    void serve(FakeBackend::Behaviour behaviour)
    {
        for (auto *instance : {&first_, &second_})
            instance->backend_ = std::make_unique<FakeBackend>(backendLoop_, behaviour);
        configure(dock::testing::walletConfig());
        deliverMembers();
        for (auto *instance : {&first_, &second_})
            announce(*instance->dock_, instance->backend_->port());
    }

    void configure(const std::shared_ptr<const model::Config> &config)
    {
        for (auto *dock : docks())
            dock->task_->deliver(dock::ConfigUpdated{config});
    }

    void deliverMembers()
    {
        auto members = std::make_shared<std::vector<model::Member>>();
        members->push_back(entry_->member("", 0, model::ServingState::Absent));
        members->push_back(first_.dock_->member("wallet", slots));
        members->push_back(second_.dock_->member("wallet", slots));
        for (auto *dock : docks())
            dock->task_->deliver(dock::MembersUpdated{members});
    }

    void announce(const Dock &dock, std::uint16_t port, int announcedSlots = slots)
    {
        const nlohmann::json body = {
                {"service", "wallet"}, {"port", port}, {"slots", announcedSlots}};
        const auto answer = caller_.call(
                dock.address(),
                {.method_ = "PUT", .target_ = "/.fuchsiadock/backend", .body_ = body.dump()});
        ASSERT_EQ(answer.status_, 200) << answer.body_;
    }

    std::vector<Dock *> docks() const
    {
        return {entry_.get(), first_.dock_.get(), second_.dock_.get()};
    }

    std::string issueKey()
    {
        const auto answer =
                caller_.call(entry_->address(), {.method_ = "POST", .target_ = "/wallet/r"});
        return headerOf(answer, "Fuchsiadock-Next-Key");
    }

    static HttpRequest redeem(const std::string &key)
    {
        return {.method_ = "POST",
                .target_ = "/wallet/r",
                .headers_ = {{"Idempotency-Key", key}},
                .body_ = "book"};
    }

    int runs() const { return first_.backend_->runs() + second_.backend_->runs(); }

    void waitForRuns(int count) const
    {
        while (runs() < count)
            std::this_thread::yield();
    }

    struct Instance
    {
        std::unique_ptr<FakeBackend> backend_;
        std::unique_ptr<Dock> dock_;
    };

    Loop backendLoop_;
    Loop callerLoop_;
    Caller caller_{callerLoop_};
    std::unique_ptr<Dock> entry_ = std::make_unique<Dock>(callerLoop_, "entry");
    Instance first_{nullptr, std::make_unique<Dock>(callerLoop_, "first")};
    Instance second_{nullptr, std::make_unique<Dock>(callerLoop_, "second")};
};

} // namespace dock::testing
