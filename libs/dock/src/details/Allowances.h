#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <allowance/Allotter.h>
#include <allowance/HandOver.h>
#include <allowance/Wallet.h>
#include <dock/Messages.h>
#include <model/Config.h>
#include <model/Member.h>
#include <net/CallResult.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>
#include <net/Reactor.h>
#include <once/Incarnation.h>

#include "AllotterAnnouncement.h"

namespace net {
class PeerClient;
}
namespace settings {
struct Settings;
}

namespace dock::details {

/**
 * Keeps the allowances of customers at this daemon: decides on requests, asks the allotters, and is
 * the allotter of the groups over which the control task has authority.
 *
 * Does nothing while no customer has an allowance or the daemon has no platform. To be used on the
 * data task's thread only.
 */
class Allowances
{
public:
    using SendFunction = std::function<void(ControlTaskMessage)>;

    /** Values of header::kind of the messages between daemons. */
    static constexpr const char *askKind = "allowance";
    static constexpr const char *handOverKind = "allowance-hand-over";
    static constexpr const char *tenureKind = AllotterAnnouncement::kind;

    /** All references must outlive this. */
    Allowances(net::Reactor &reactor, net::PeerClient &client, const settings::Settings &settings,
               once::Incarnation self, SendFunction sendToControlTask);
    ~Allowances();
    Allowances(const Allowances &) = delete;
    Allowances &operator=(const Allowances &) = delete;

    /** Called after held requests may have to be decided again; not from inside admit(). */
    void onChanged(std::function<void()> handler) { onChanged_ = std::move(handler); }

    void configure(const model::Config &config);
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);
    void setIncarnation(const once::Incarnation &self);

    /** The customer's allowance that has to be kept here, or nullptr. */
    const model::Allowance *find(const std::string &customer) const;

    /** Time for which a request may be held. */
    base::Millis maxHold() const { return settings_.maxHold_; }

    // As in allowance::Wallet. After Held, the caller keeps the request and calls ask().
    allowance::Verdict admit(const std::string &customer, const model::Allowance &allowance);
    allowance::Verdict retry(const std::string &customer);
    allowance::Verdict giveUp(const std::string &customer);
    void leave(const std::string &customer);
    void refund(const std::string &customer, base::Millis takenAt);

    /** Sends the asks that are due, and keeps doing so while a customer is in use. */
    void ask();

    /** Answers a message of another daemon. */
    net::HttpResponse onAsk(const std::string &body);
    net::HttpResponse onHandOver(const std::string &body);
    net::HttpResponse onAnnounced(const net::HttpRequest &request);

    /** The daemon may be the allotter of the group: asks go there for a while. */
    void onSeen(std::uint32_t group, const std::string &id);

    void onTenure(const TenureChanged &change);
    void onReleased(const AuthorityReleased &released);

    /** Hands over what this daemon allots, as it leaves. */
    void drain();

    /** Nothing while no customer has an allowance. */
    std::optional<AllowanceStatus> status() const;

private:
    struct GroupState
    {
        allowance::Allotter allotter_;
        std::vector<std::string> candidates_;
        std::string announced_; ///< id of the allotter that has announced itself
        base::Millis announcedUntil_;
        std::vector<allowance::CustomerState> resigned_; ///< for the successor
        std::optional<allowance::HandOver> received_;
        std::string successor_;
        base::Millis nextClaim_;
        bool hasCustomers_ = false;
        bool hasClaimedFirst_ = false;
    };

    static allowance::Settings settingsOf(const settings::Settings &settings);
    std::unique_ptr<allowance::Wallet> makeWallet() const;
    void updateCandidates();
    void claimAsFirst();
    void claim(std::uint32_t group);
    void announce(std::uint32_t group, std::uint64_t end);
    allowance::Answer answer(const allowance::Ask &ask);
    allowance::NotAllotter notAllotter(const allowance::Ask &ask);
    void send(const allowance::OutgoingAsk &outgoing);
    void onAnswered(std::uint32_t group, std::uint64_t number, const net::CallResult &result);
    const model::Member *findMember(const std::string &id) const;
    void logSpent(const std::string &customer, const allowance::Verdict &verdict);
    void scheduleTick();
    void tick();

    net::Reactor &reactor_;
    net::PeerClient &client_;
    const allowance::Settings settings_;
    const bool isSupported_;
    once::Incarnation self_;
    SendFunction sendToControlTask_;
    std::function<void()> onChanged_;
    std::unordered_map<std::string, model::Allowance> allowances_;
    std::unique_ptr<allowance::Wallet> wallet_; ///< set once a customer has an allowance
    std::array<GroupState, allowance::groupCount> groups_;
    std::shared_ptr<const std::vector<model::Member>> members_;
    std::unordered_map<std::string, base::Millis> spentLoggedAt_;
    std::uint32_t heldCount_ = 0;
    net::TimerId tickTimer_ = 0;
    net::TimerId claimTimer_ = 0;
    base::Millis nextUseCheck_;
    bool isLeaving_ = false;
    bool hasWarned_ = false;
};

} // namespace dock::details
