#include <bit>

#include <base/Overloaded.h>
#include <details/CoreImpl.h>
#include <membership/Codec.h>

namespace membership {
namespace {

constexpr std::uint32_t relaySendLimit = 2;
constexpr std::size_t leaveFanOutFactor = 4;

} // namespace

std::uint32_t Core::Impl::sendLimit() const
{
    const auto members = table_.live(self_.dataCentre_).size();
    return static_cast<std::uint32_t>(std::bit_width(members)) + 3;
}

Datagram Core::Impl::makeDatagram(const std::string &toDataCentre, Body body)
{
    Datagram result;
    result.senderId_ = self_.id_;
    result.senderGeneration_ = self_.generation_;
    result.senderDataCentre_ = self_.dataCentre_;
    result.senderRevision_ = self_.revision_;
    const auto addView = [&](const std::string &dataCentre, base::Millis age) {
        result.views_.push_back({dataCentre, age, table_.hash(dataCentre)});
    };
    if (!isCatchingUp_)
        addView(self_.dataCentre_, {});
    if (isLocalDataCentre(toDataCentre)) {
        for (const auto &[dataCentre, time] : lastReachableAt_)
            addView(dataCentre, std::max(base::Millis(), now_ - time));
        result.revisions_ = revisions_.takePending(sendLimit());
    } else {
        addView(toDataCentre, {});
        if (const auto *localSummary = revisions_.find(self_.dataCentre_))
            result.revisions_.push_back(*localSummary);
    }
    result.body_ = std::move(body);
    return result;
}

void Core::Impl::send(const Entry &to, Body body, std::vector<Record> records)
{
    const auto member = to.record_.member_;
    auto message = makeDatagram(member.dataCentre_, std::move(body));
    message.records_ = std::move(records);
    // Every message to a suspected or dead member carries its record, so that it can refute it.
    if (to.record_.status_ != Status::Alive && message.records_.empty() && !isCatchingUp_)
        message.records_.push_back(recordWithAge(to));
    if (isLocalDataCentre(member.dataCentre_))
        piggyback(message, updates_, sendLimit());
    else if (const auto found = relayUpdates_.find(member.dataCentre_);
             found != relayUpdates_.end())
        piggyback(message, found->second, relaySendLimit);
    emitSend(member.controlAddress_, std::move(message));
}

void Core::Impl::reply(const DatagramReceived &to, Body body)
{
    const auto &request = to.datagram_;
    auto message = makeDatagram(request.senderDataCentre_, std::move(body));
    const auto *sender = table_.find(request.senderId_);
    const bool needsRefutation =
            sender && !isSelf(request.senderId_) && !isCatchingUp_
            && (sender->record_.status_ != Status::Alive
                || sender->record_.member_.generation_ != request.senderGeneration_);
    if (needsRefutation)
        message.records_.push_back(recordWithAge(*sender));
    if (isLocalDataCentre(request.senderDataCentre_))
        piggyback(message, updates_, sendLimit());
    emitSend(to.from_, std::move(message));
}

void Core::Impl::piggyback(Datagram &datagram, UpdateQueue &queue, std::uint32_t limit)
{
    auto available = maxDatagramBytes - Codec::overheadBound(datagram);
    for (const auto &record : datagram.records_)
        available -= Codec::sizeBound(record);
    queue.take(limit, [&](const std::string &id) {
        const auto *entry = table_.find(id);
        if (!entry || (isCatchingUp_ && !isSelf(id)))
            return false;
        const auto record = recordWithAge(*entry);
        const auto bytes = Codec::sizeBound(record);
        if (bytes > available)
            return false;
        available -= bytes;
        datagram.records_.push_back(record);
        return true;
    });
}

void Core::Impl::sendRecords(const model::Address &to, const std::string &toDataCentre,
                             std::vector<Record> records)
{
    auto message = makeDatagram(toDataCentre, Gossip{});
    auto bytes = Codec::overheadBound(message);
    for (auto &record : records) {
        const auto size = Codec::sizeBound(record);
        if (bytes + size > maxDatagramBytes) {
            emitSend(to, std::move(message));
            message = makeDatagram(toDataCentre, Gossip{});
            bytes = Codec::overheadBound(message);
        }
        bytes += size;
        message.records_.push_back(std::move(record));
    }
    emitSend(to, std::move(message));
}

void Core::Impl::emitSend(const model::Address &to, Datagram datagram)
{
    auto bytes = Codec::overheadBound(datagram);
    for (const auto &record : datagram.records_)
        bytes += Codec::sizeBound(record);
    budget_.spend(bytes);
    commands_.emplace_back(Send{to, std::move(datagram)});
}

void Core::Impl::gossip()
{
    if (relayGossipRounds_ > 0) {
        --relayGossipRounds_;
        gossipToRelays();
    }
    gossipToOtherDataCentres();
    const bool hasUpdates = !updates_.isEmpty() || revisionGossipRounds_ > 0;
    if (!hasUpdates || budget_.isSpent())
        return;
    if (revisionGossipRounds_ > 0)
        --revisionGossipRounds_;
    const auto fanOut = timing_.gossipFanOut_ * (isLeaving_ ? leaveFanOutFactor : 1);
    for (const auto *peer : randomPeers(fanOut))
        send(*peer, Gossip{});
}

void Core::Impl::gossipToRelays()
{
    const Record selfRecord = table_.find(self_.id_)->record_;
    for (const auto *relay : table_.relays(self_.dataCentre_)) {
        if (!isSelf(relay->record_.member_.id_))
            send(*relay, Gossip{}, {selfRecord});
    }
}

void Core::Impl::gossipToOtherDataCentres()
{
    for (auto &[dataCentre, queue] : relayUpdates_) {
        if (queue.isEmpty() || budget_.isSpent())
            continue;
        if (const auto *relay = randomOther(table_.relays(dataCentre)))
            send(*relay, Gossip{});
        else
            queue.clear();
    }
}

} // namespace membership
