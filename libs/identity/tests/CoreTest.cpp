#include <identity/BearerKey.h>
#include <identity/Core.h>

#include <gtest/gtest.h>

using base::Millis;
using identity::Admitted;
using identity::Core;
using identity::Decision;
using identity::Request;
using identity::Unauthorized;

namespace {

const identity::Limits limits = identity::Limits::of(Millis(5000), Millis(2000));

std::shared_ptr<const model::Config> configOf(std::vector<std::string> keys)
{
    auto config = std::make_shared<model::Config>();
    model::Customer customer{.name_ = "acme"};
    for (const auto &key : keys)
        customer.keys_.push_back(model::KeyDigest::of(key));
    config->addCustomer(customer);
    config->requiresKeys_ = true;
    return config;
}

/** A core with the given configuration, confirmed at time 0. */
Core confirmedCore(const std::shared_ptr<const model::Config> &config)
{
    Core core(limits);
    core.configure(config);
    core.confirm(Millis(0));
    return core;
}

std::string customerOf(const Decision &decision)
{
    const auto *admitted = std::get_if<Admitted>(&decision);
    return admitted != nullptr && admitted->customer_ != nullptr ? admitted->customer_->name_ : "";
}

bool isUnconfirmed(const Decision &decision)
{
    const auto *unconfirmed = std::get_if<identity::Unconfirmed>(&decision);
    return unconfirmed != nullptr && unconfirmed->retryAfter_ > Millis();
}

const Request keyed = {.key_ = "k1"};
const Request unknown = {.key_ = "k9"};
const Request withoutKey = {};
const Request publicOne = {.isPublic_ = true};
const Request child = {.isChild_ = true};

} // namespace

TEST(Identity, everyRequestIsAdmittedWhereNoKeysAreRequired)
{
    Core core(limits);
    EXPECT_EQ(core.decide(withoutKey, Millis(0)), Decision(Admitted{}));
    core.configure(std::make_shared<model::Config>());
    EXPECT_EQ(core.decide(unknown, Millis(99'999)), Decision(Admitted{}));
    EXPECT_TRUE(core.isCurrent(Millis(99'999)));
}

TEST(Identity, knownKeyNamesItsCustomerAndOthersAreUnauthorized)
{
    const auto core = confirmedCore(configOf({"k1", "k2"}));
    EXPECT_EQ(customerOf(core.decide(keyed, Millis(10))), "acme");
    EXPECT_EQ(core.decide(unknown, Millis(10)), Decision(Unauthorized{}));
    EXPECT_EQ(core.decide(withoutKey, Millis(10)), Decision(Unauthorized{}));
    EXPECT_EQ(core.decide({.key_ = ""}, Millis(10)), Decision(Unauthorized{}));
}

TEST(Identity, publicRequestsAndCallsNeedNoKeyHoweverOldTheEvidenceIs)
{
    const auto core = confirmedCore(configOf({"k1"}));
    for (const auto age : {Millis(0), Millis(3000), Millis(60'000)}) {
        EXPECT_EQ(core.decide(publicOne, age), Decision(Admitted{}));
        EXPECT_EQ(core.decide(child, age), Decision(Admitted{}));
        EXPECT_EQ(core.decide({.key_ = "k9", .isPublic_ = true}, age), Decision(Admitted{}));
    }
    EXPECT_EQ(customerOf(core.decide({.key_ = "k1", .isPublic_ = true}, Millis(10))), "acme");
}

// A caller could put the id of a running request before its own.
TEST(Identity, keyOfWhatLooksLikeACallIsChecked)
{
    const auto core = confirmedCore(configOf({"k1"}));
    EXPECT_EQ(core.decide({.key_ = "k9", .isChild_ = true}, Millis(10)), Decision(Unauthorized{}));
    EXPECT_EQ(customerOf(core.decide({.key_ = "k1", .isChild_ = true}, Millis(10))), "acme");
}

TEST(Identity, oldEvidenceRefusesKnownKeysBeforeTheRevocationTime)
{
    auto core = confirmedCore(configOf({"k1"}));
    EXPECT_EQ(customerOf(core.decide(keyed, Millis(4499))), "acme");
    EXPECT_TRUE(isUnconfirmed(core.decide(keyed, Millis(4500))));
    core.confirm(Millis(3000));
    EXPECT_EQ(customerOf(core.decide(keyed, Millis(7499))), "acme");
    core.confirm(Millis(1000));
    EXPECT_EQ(customerOf(core.decide(keyed, Millis(7499))), "acme");
}

TEST(Identity, unknownKeyMayBeNewWhileTheEvidenceIsOld)
{
    auto core = confirmedCore(configOf({"k1"}));
    EXPECT_EQ(core.decide(unknown, Millis(1999)), Decision(Unauthorized{}));
    EXPECT_TRUE(isUnconfirmed(core.decide(unknown, Millis(2000))));
    EXPECT_TRUE(isUnconfirmed(core.decide(withoutKey, Millis(2000))));
    EXPECT_FALSE(core.isCurrent(Millis(2000)));
    core.configure(configOf({"k1", "k9"}));
    EXPECT_EQ(customerOf(core.decide(unknown, Millis(2000))), "acme");
}

TEST(Identity, withoutEvidenceNothingIsUnauthorized)
{
    Core core(limits);
    core.configure(configOf({"k1"}));
    EXPECT_TRUE(isUnconfirmed(core.decide(keyed, Millis(0))));
    EXPECT_TRUE(isUnconfirmed(core.decide(unknown, Millis(0))));
}

TEST(Identity, revocationTimeOfZeroIsNoBound)
{
    Core core(identity::Limits::of(Millis(0), Millis(2000)));
    core.configure(configOf({"k1"}));
    EXPECT_EQ(customerOf(core.decide(keyed, Millis(99'999))), "acme");
}

TEST(Identity, withdrawnKeyIsUnauthorizedAtOnce)
{
    auto core = confirmedCore(configOf({"k1", "k2"}));
    core.configure(configOf({"k2"}));
    EXPECT_EQ(core.decide(keyed, Millis(10)), Decision(Unauthorized{}));
    core.configure(configOf({}));
    EXPECT_EQ(core.decide({.key_ = "k2"}, Millis(10)), Decision(Unauthorized{}));
}

TEST(BearerKey, isReadFromTheField)
{
    EXPECT_EQ(identity::bearerKey("Bearer k1"), "k1");
    EXPECT_EQ(identity::bearerKey("bearer  k1 "), "k1");
    for (const auto *field : {"", "Bearer", "Bearer ", "Bearerk1", "Basic k1", "k1"})
        EXPECT_EQ(identity::bearerKey(field), std::nullopt) << field;
}
