#include "ThreeDaemons.h"

using dock::testing::outcomeOf;
using net::HttpRequest;

namespace {

/** An issued key identifies one request at all daemons, even if their configurations differ. */
class KeyScope : public dock::testing::ThreeDaemons
{
protected:
    static void respondWithBook(net::HttpServer &server, net::ExchangeId id, const HttpRequest &)
    {
        server.respond(id, {.body_ = "one book"});
    }

    /** Starts the backend servers and runs one request under an issued key. */
    std::string usedKey()
    {
        serve(respondWithBook);
        auto key = issueKey();
        EXPECT_EQ(outcomeOf(caller_.call(entry_->address(), redeem(key))), "complete");
        return key;
    }
};

} // namespace

TEST_F(KeyScope, outcomeIsUnknownWithoutConfiguration)
{
    const auto key = usedKey();
    const dock::testing::Dock unconfigured(callerLoop_, "fresh");
    EXPECT_EQ(outcomeOf(caller_.call(unconfigured.address(), redeem(key))), "unknown");
    EXPECT_EQ(outcomeOf(caller_.call(unconfigured.address(), redeem("made-up"))), "not-run");
}

TEST_F(KeyScope, outcomeIsUnknownForAMissingService)
{
    const auto key = usedKey();
    auto config = std::make_shared<model::Config>();
    second_.dock_->task_->deliver(dock::ConfigUpdated{config});
    EXPECT_EQ(outcomeOf(caller_.call(second_.dock_->address(), redeem(key))), "unknown");
}

TEST_F(KeyScope, noSecondRunWhereTheClassIsIdempotent)
{
    const auto key = usedKey();
    auto config = std::make_shared<model::Config>(*dock::testing::walletConfig());
    config->classes_["redeem"].idempotent_ = true;
    second_.dock_->task_->deliver(dock::ConfigUpdated{config});
    const auto answer = caller_.call(second_.dock_->address(), redeem(key));
    EXPECT_EQ(answer.body_, "one book");
    EXPECT_EQ(runs(), 1);
}

TEST_F(KeyScope, keyUsedInTwoContextsRunsOnce)
{
    std::mutex mutex;
    std::vector<std::string> contexts;
    std::atomic<int> redemptions = 0;
    serve([&](net::HttpServer &server, net::ExchangeId id, const HttpRequest &request) {
        if (request.method_ == "POST") {
            ++redemptions;
            respondWithBook(server, id, request);
            return;
        }
        // Not answered, so that the contexts stay valid.
        const std::lock_guard lock(mutex);
        contexts.emplace_back(net::headerValue(request.headers_, "Fuchsiadock-Context"));
    });
    const auto key = issueKey();
    const HttpRequest parent{.target_ = "/wallet/b"};
    const auto one = caller_.start(entry_->address(), parent);
    const auto two = caller_.start(entry_->address(), parent);
    waitForRuns(2);
    const auto contextCount = [&] {
        const std::lock_guard lock(mutex);
        return contexts.size();
    };
    while (contextCount() < 2)
        std::this_thread::yield();
    for (const auto &context : contexts) {
        for (auto *dock : {first_.dock_.get(), second_.dock_.get()}) {
            auto child = redeem(key);
            child.headers_.push_back({"Fuchsiadock-Context", context});
            EXPECT_EQ(caller_.call(dock->address(), child).body_, "one book");
        }
    }
    EXPECT_EQ(redemptions, 1);
    // Ends the unanswered parent requests before the variables that the handlers use.
    first_.backend_->crash();
    second_.backend_->crash();
    one.wait();
    two.wait();
}
