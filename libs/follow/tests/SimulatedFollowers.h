#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include <base/Random.h>
#include <follow/Core.h>

/**
 * The followers of one topic in virtual time: each revision is one record of a simulated log, and a
 * daemon that reads a new one announces it as the daemons of a real system do.
 *
 * Every daemon keeps its view of the others, so the loss of one is known to nobody.
 */
class SimulatedFollowers
{
public:
    enum class Fault : std::uint8_t {
        CutFromLog,   ///< its reads get no answer; it reaches the other daemons
        RefusedByLog, ///< its reads are refused at once; it reaches the other daemons
        CutOff,       ///< neither its reads nor its inquiries get an answer
        Paused,       ///< answers nothing and does nothing, but accepts connections
        Killed,       ///< refuses connections
    };

    SimulatedFollowers(std::size_t dataCentres, std::size_t size, std::uint64_t seed)
        : random_(seed)
        , size_(size)
    {
        for (std::size_t i = 0; i < dataCentres * size; ++i) {
            follow::Options options;
            options.seed_ = seed + i;
            daemons_.push_back({.core_ = std::make_unique<follow::Core>(options)});
        }
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            const base::Millis startsAt(static_cast<std::int64_t>(random_.below(300)));
            at(startsAt, [this, i] { handle(i, follow::Started{}); });
            at(startsAt + base::Millis(500), [this, i] { handle(i, peersOf(i)); });
        }
    }

    base::Millis now() const { return now_; }

    void runFor(base::Millis time)
    {
        const auto end = now_ + time;
        while (!tasks_.empty() && tasks_.top().time_ <= end) {
            const auto task = tasks_.top();
            tasks_.pop();
            now_ = task.time_;
            task.run_();
        }
        now_ = end;
    }

    /** Writes the next revision to the log. */
    void write()
    {
        ++newest_;
        for (const auto &read : std::exchange(waitingReads_, {}))
            answer(read);
    }

    void inject(std::size_t daemon, Fault fault) { daemons_[daemon].fault_ = fault; }

    /** Ends the fault; a paused daemon first handles what has arrived meanwhile. */
    void mend(std::size_t daemon)
    {
        daemons_[daemon].fault_.reset();
        for (const auto &event : std::exchange(daemons_[daemon].pending_, {}))
            handle(daemon, event);
    }

    void setLogReachable(bool isReachable) { isLogReachable_ = isReachable; }
    /** Daemons with old evidence ask all others; to be set before the first run. */
    void useFallback() { hasFallback_ = true; }

    /** Time of the last evidence that a daemon reported. */
    base::Millis confirmedAt(std::size_t daemon) const { return daemons_[daemon].confirmedAt_; }

    void setAnnouncing(bool isAnnouncing) { isAnnouncing_ = isAnnouncing; }

    /** The daemon at the given rank of a data centre; the first two are its readers. */
    std::size_t daemon(std::size_t dataCentre, std::size_t rank) const
    {
        return dataCentre * size_ + rank;
    }

    model::Revision revision(std::size_t daemon) const { return daemons_[daemon].revision_; }
    model::Revision newest() const { return newest_; }
    std::size_t count() const { return daemons_.size(); }
    bool isFaulty(std::size_t daemon) const { return daemons_[daemon].fault_.has_value(); }

    /** Reads since the last call of resetReads(), of one daemon. */
    int reads(std::size_t daemon) const { return daemons_[daemon].reads_; }

    void resetReads()
    {
        for (auto &daemon : daemons_)
            daemon.reads_ = 0;
    }

private:
    struct Daemon
    {
        std::unique_ptr<follow::Core> core_;
        std::optional<Fault> fault_;
        std::vector<follow::Event> pending_; ///< arrived during a pause
        model::Revision revision_ = 0;
        std::uint64_t wake_ = 0; ///< number of the last WakeAt
        int reads_ = 0;
        base::Millis confirmedAt_; ///< of the last EvidenceAdvanced
    };

    struct Task
    {
        base::Millis time_;
        std::uint64_t number_;
        std::function<void()> run_;

        bool operator<(const Task &other) const
        {
            return std::tie(other.time_, other.number_) < std::tie(time_, number_);
        }
    };

    struct Read
    {
        std::size_t daemon_;
        follow::ReadId id_;
        std::uint64_t offset_;
        std::uint64_t number_; ///< 0: does not wait
    };

    static constexpr base::Millis oneWay{2};
    static constexpr base::Millis inquiryTimeout{250};
    static constexpr base::Millis readMargin{1000};
    static constexpr std::size_t announcedPerOtherDataCentre = 2;

    void at(base::Millis time, std::function<void()> run)
    {
        tasks_.push({time, ++lastTask_, std::move(run)});
    }

    void after(base::Millis delay, std::function<void()> run) { at(now_ + delay, std::move(run)); }

    bool has(std::size_t daemon, Fault fault) const { return daemons_[daemon].fault_ == fault; }

    bool isUp(std::size_t daemon) const
    {
        return !has(daemon, Fault::Paused) && !has(daemon, Fault::Killed);
    }

    bool isCutFromLog(std::size_t daemon) const
    {
        return has(daemon, Fault::CutFromLog) || has(daemon, Fault::CutOff);
    }

    /** Whether messages between two daemons arrive. */
    bool reach(std::size_t from, std::size_t to) const
    {
        return isUp(to) && !has(from, Fault::CutOff) && !has(to, Fault::CutOff);
    }

    follow::PeersChanged peersOf(std::size_t daemon) const
    {
        follow::PeersChanged change;
        change.peers_.members_ = size_;
        for (auto peer = daemon - daemon % size_; peer < daemon; ++peer)
            change.peers_.higherRanked_.push_back(address(peer));
        if (hasFallback_)
            change.peers_.fallback_ = fallbackOf(daemon);
        return change;
    }

    std::vector<model::Address> fallbackOf(std::size_t daemon) const
    {
        std::vector<model::Address> near;
        std::vector<model::Address> far;
        for (std::size_t i = 1; i < daemons_.size(); ++i) {
            const auto other = (daemon + i) % daemons_.size();
            (other / size_ == daemon / size_ ? near : far).push_back(address(other));
        }
        return follow::alternating(near, far);
    }

    static model::Address address(std::size_t daemon)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(daemon + 1)};
    }

    void handle(std::size_t index, const follow::Event &event)
    {
        auto &daemon = daemons_[index];
        if (has(index, Fault::Paused))
            daemon.pending_.push_back(event);
        if (!isUp(index))
            return;
        for (const auto &command : daemon.core_->handle(event, now_))
            std::visit([&](const auto &alternative) { execute(index, alternative); }, command);
    }

    void execute(std::size_t daemon, const follow::ReadNewest &command)
    {
        read({daemon, command.read_, 0, 0}, base::Millis());
    }

    void execute(std::size_t daemon, const follow::ReadFrom &command)
    {
        read({daemon, command.read_, command.offset_, 0}, command.wait_);
    }

    void execute(std::size_t daemon, const follow::WakeAt &command)
    {
        const auto wake = ++daemons_[daemon].wake_;
        at(std::max(command.time_, now_), [this, daemon, wake] {
            if (wake == daemons_[daemon].wake_)
                handle(daemon, follow::TimerExpired{});
        });
    }

    void execute(std::size_t daemon, const follow::DeliverRecords &command)
    {
        const auto revision = static_cast<model::Revision>(command.records_.back().offset_) + 1;
        const bool isNew = apply(daemon, revision);
        after(base::Millis(), [this, daemon] { handle(daemon, follow::RecordsHandled{}); });
        if (!isNew || !isAnnouncing_)
            return;
        announceInDataCentre(daemon, daemon / size_);
        for (std::size_t other = 0; other < daemons_.size() / size_; ++other) {
            for (std::size_t i = 0; other != daemon / size_ && i < announcedPerOtherDataCentre; ++i)
                announce(daemon, other * size_ + random_.below(size_), true);
        }
    }

    void execute(std::size_t daemon, const follow::Inquire &command)
    {
        const std::size_t peer = command.to_.port_ - 1U;
        const auto end = [this, daemon, id = command.inquiry_](auto confirmation) {
            handle(daemon, follow::InquiryEnded{id, confirmation});
        };
        if (!reach(daemon, peer)) {
            after(isUp(peer) || has(peer, Fault::Paused) ? inquiryTimeout : oneWay * 2,
                  [end] { end(std::optional<follow::Confirmation>()); });
            return;
        }
        after(oneWay, [this, peer, end] {
            const auto confirmation = daemons_[peer].core_->confirmation(now_);
            after(oneWay, [end, confirmation] { end(confirmation); });
        });
    }

    void execute(std::size_t daemon, const follow::FetchConfig &command)
    {
        fetch(daemon, command.from_.port_ - 1U, false);
    }

    void execute(std::size_t, const follow::LogStateChanged &) {}
    void execute(std::size_t, const follow::DutyChanged &) {}

    void execute(std::size_t daemon, const follow::EvidenceAdvanced &evidence)
    {
        daemons_[daemon].confirmedAt_ = evidence.confirmedAt_;
    }

    bool apply(std::size_t daemon, model::Revision revision)
    {
        if (revision <= daemons_[daemon].revision_)
            return false;
        daemons_[daemon].revision_ = revision;
        after(base::Millis(),
              [this, daemon, revision] { handle(daemon, follow::RevisionInForce{revision}); });
        return true;
    }

    void announceInDataCentre(std::size_t from, std::size_t dataCentre)
    {
        for (std::size_t rank = 0; rank < size_; ++rank)
            announce(from, dataCentre * size_ + rank, false);
    }

    void announce(std::size_t from, std::size_t to, bool mustForward)
    {
        after(oneWay, [this, from, to, mustForward] {
            if (reach(from, to) && daemons_[to].revision_ < daemons_[from].revision_)
                fetch(to, from, mustForward);
        });
    }

    void fetch(std::size_t daemon, std::size_t from, bool mustForward)
    {
        if (!reach(daemon, from))
            return;
        after(oneWay * 2, [this, daemon, from, mustForward] {
            if (reach(from, daemon) && apply(daemon, daemons_[from].revision_) && mustForward)
                announceInDataCentre(daemon, daemon / size_);
        });
    }

    void read(Read read, base::Millis wait)
    {
        ++daemons_[read.daemon_].reads_;
        if (has(read.daemon_, Fault::RefusedByLog)) {
            after(oneWay * 2, [this, read] { fail(read, logclient::Unavailable{"refused"}); });
            return;
        }
        if (isCutFromLog(read.daemon_) || !isLogReachable_) {
            after(wait, [this, read] { timeOut(read); });
            return;
        }
        after(oneWay, [this, read, wait]() mutable {
            if (read.offset_ < newest_ || wait == base::Millis()) {
                answer(read);
                return;
            }
            read.number_ = ++lastRead_;
            waitingReads_.push_back(read);
            after(wait, [this, number = read.number_] { endWait(number); });
        });
    }

    void timeOut(const Read &read)
    {
        after(readMargin, [this, read] { fail(read, logclient::NoAnswer{"silent"}); });
    }

    void fail(const Read &read, const logclient::LogError &error)
    {
        handle(read.daemon_, follow::ReadEnded{read.id_, tl::unexpected(error)});
    }

    void endWait(std::uint64_t number)
    {
        for (auto read = waitingReads_.begin(); read != waitingReads_.end(); ++read) {
            if (read->number_ != number)
                continue;
            const auto ended = *read;
            waitingReads_.erase(read);
            answer(ended);
            return;
        }
    }

    void answer(const Read &read)
    {
        if (isCutFromLog(read.daemon_)) {
            timeOut(read);
            return;
        }
        logclient::KeyedPage page{.next_ = newest_};
        if (read.offset_ < newest_)
            page.records_.push_back({"config", "c", newest_ - 1});
        after(oneWay, [this, read, page] {
            if (isCutFromLog(read.daemon_))
                timeOut(read);
            else
                handle(read.daemon_, follow::ReadEnded{read.id_, page});
        });
    }

    base::Random random_;
    const std::size_t size_;
    std::vector<Daemon> daemons_;
    std::priority_queue<Task> tasks_;
    std::vector<Read> waitingReads_;
    base::Millis now_;
    model::Revision newest_ = 0;
    std::uint64_t lastTask_ = 0;
    std::uint64_t lastRead_ = 0;
    bool isLogReachable_ = true;
    bool isAnnouncing_ = true;
    bool hasFallback_ = false;
};
