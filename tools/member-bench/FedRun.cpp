#include <base/Overloaded.h>
#include <base/Random.h>
#include <membership/Codec.h>
#include <membership/Core.h>

#include "Runs.h"
#include "Usage.h"

using base::Millis;
using membership::Record;

namespace {

constexpr Millis tickInterval(100);

/** Runs one core; the other members are records only, which answer pings and send changes. */
class FedRun
{
public:
    explicit FedRun(const RunOptions &options)
        : options_(options)
        , random_(options.seed_)
        , initialResidentBytes_(residentBytes())
        , core_(coreOptions(options))
    {
        for (unsigned i = 1; i < options.members_; ++i)
            others_.push_back(member(i));
        handle(membership::StateFetched{others_.front().member_.controlAddress_, 0, others_});
        handle(membership::Tick{});
    }

    void run()
    {
        report("memory", static_cast<double>(residentBytes() - initialResidentBytes_), "bytes");
        // 350 restarts and 12 failures a day with six changes each make one change per 40 s.
        measurePhase("steady: a change in 40 s", 0.025, options_.seconds_);
        measurePhase("ten changes a second", 10, options_.seconds_);
        measurePhase("1,260 changes in 10 s: data centre of 420 restarted", 126, 10);
        report("memory at the end", static_cast<double>(residentBytes() - initialResidentBytes_),
               "bytes");
        report("members listed", static_cast<double>(core_.members().size()), "");
    }

private:
    static model::Address address(unsigned i)
    {
        return {"10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7000};
    }

    Record member(unsigned i) const
    {
        Record record;
        record.member_ = {"instance-" + std::to_string(i),
                          1'700'000'000'000,
                          "region-" + std::to_string(i % 2),
                          "dc" + std::to_string(i % options_.dataCentres_),
                          address(i),
                          address(i),
                          "service-" + std::to_string(i % 54),
                          100,
                          model::ServingState::Ready};
        return record;
    }

    membership::Options coreOptions(const RunOptions &options) const
    {
        return {member(0).member_, {address(1)}, options.seed_};
    }

    void handle(const membership::Event &event)
    {
        for (const auto &command : core_.handle(event, now_))
            std::visit(base::Overloaded{[&](const membership::Send &send) { recordSend(send); },
                                        [&](const membership::FetchState &fetch) {
                                            fetches_.push_back(fetch);
                                        },
                                        [](const auto &) {
                                        }},
                       command);
    }

    void recordSend(const membership::Send &send)
    {
        sentBytes_ += codec_.encode(send.datagram_).size();
        if (const auto *ping = std::get_if<membership::Ping>(&send.datagram_.body_))
            acks_.emplace_back(send.to_, membership::Ack{ping->sequence_, ping->targetId_});
    }

    void receive(const Record &from, membership::Body body, std::vector<Record> records = {})
    {
        membership::Datagram datagram;
        datagram.senderId_ = from.member_.id_;
        datagram.senderGeneration_ = from.member_.generation_;
        datagram.senderDataCentre_ = from.member_.dataCentre_;
        datagram.body_ = std::move(body);
        datagram.records_ = std::move(records);
        const auto bytes = codec_.encode(datagram);
        receivedBytes_ += bytes.size();
        handle(membership::DatagramReceived{from.member_.controlAddress_,
                                            codec_.decode(bytes).value()});
    }

    Record &randomOther() { return others_[random_.below(others_.size())]; }

    const Record &randomPeerInDataCentre()
    {
        while (true) {
            if (const auto &other = randomOther(); other.member_.dataCentre_ == "dc0")
                return other;
        }
    }

    /** Delivers each change from several daemons, with seven records per datagram. */
    void sendChanges(double count)
    {
        constexpr int copies = 6;
        constexpr std::size_t recordsPerDatagram = 7;
        pendingChanges_ += count;
        std::vector<Record> changed;
        for (; pendingChanges_ >= 1; pendingChanges_ -= 1) {
            auto &other = randomOther();
            ++other.incarnation_;
            changed.push_back(other);
        }
        for (int copy = 0; copy < copies; ++copy) {
            for (std::size_t i = 0; i < changed.size(); i += recordsPerDatagram) {
                const auto end = std::min(changed.size(), i + recordsPerDatagram);
                receive(randomPeerInDataCentre(), membership::Gossip{},
                        {changed.begin() + static_cast<std::ptrdiff_t>(i),
                         changed.begin() + static_cast<std::ptrdiff_t>(end)});
            }
        }
    }

    void advance(double changes)
    {
        now_ = now_ + tickInterval;
        handle(membership::Tick{});
        for (const auto &[to, ack] : std::exchange(acks_, {})) {
            const auto *target = core_.find(ack.targetId_);
            receive(*target, ack);
        }
        for (const auto &fetch : std::exchange(fetches_, {}))
            handle(membership::StateFetched{fetch.from_, fetch.request_, others_});
        if (now_.count() % 1000 == 0)
            receive(randomPeerInDataCentre(), membership::Ping{1, core_.self().id_});
        sendChanges(changes);
    }

    void measurePhase(const char *name, double changesPerSecond, unsigned seconds)
    {
        constexpr unsigned ticksPerSecond = 10;
        const auto processor = cpuTime();
        sentBytes_ = receivedBytes_ = 0;
        for (unsigned i = 0; i < seconds * ticksPerSecond; ++i)
            advance(changesPerSecond / ticksPerSecond);
        std::printf(" %s\n", name);
        report("processor time, both ends of the codec",
               (cpuTime() - processor).fractional() / seconds, "ms/s");
        report("sent", static_cast<double>(sentBytes_) / seconds, "bytes/s");
        report("received", static_cast<double>(receivedBytes_) / seconds, "bytes/s");
    }

    RunOptions options_;
    base::Random random_;
    std::size_t initialResidentBytes_;
    Millis now_ = Millis(1000);
    membership::Codec codec_ = membership::Codec("secret");
    membership::Core core_;
    std::vector<Record> others_;
    std::vector<std::pair<model::Address, membership::Ack>> acks_;
    std::vector<membership::FetchState> fetches_;
    double pendingChanges_ = 0;
    std::size_t sentBytes_ = 0;
    std::size_t receivedBytes_ = 0;
};

} // namespace

void runFed(const RunOptions &options)
{
    FedRun(options).run();
}
