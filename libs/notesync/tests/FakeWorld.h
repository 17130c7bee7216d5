#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <base/Overloaded.h>
#include <base/Random.h>
#include <notesync/NoteSync.h>

/** Points of a publication at which a fault can strike. */
enum class Step { Start, AppendSent, Appended, FirstInForce, HalfInForce, AllInForce };

/** Daemons, their network and the log in virtual time, with faults. */
class FakeWorld
{
public:
    struct Node
    {
        std::unique_ptr<notesync::NoteSync> sync_;
        std::string dataCentre_;
        bool isUp_ = true;
        bool isPaused_ = false;
        int generation_ = 0;
        model::Revision applied_ = 0;
        base::Millis nextGossip_;
        std::vector<std::function<void()>> held_; ///< what arrived while paused
    };

    struct Log
    {
        std::vector<std::string> records_;
        std::vector<base::Millis> times_; ///< of the appends
        std::uint64_t first_ = 0;
        bool isDown_ = false;
        bool losesAnswers_ = false;
        base::Millis delay_ = base::Millis(20);
        std::size_t maxPage_ = 1000;   ///< larger answers are lost
        std::set<std::string> cutOff_; ///< data centres that cannot reach it
        std::uint64_t reads_ = 0;
        std::uint64_t appends_ = 0;
    };

    explicit FakeWorld(std::uint64_t seed)
        : random_(seed)
    {}

    void addNode(const std::string &id, const std::string &dataCentre)
    {
        nodes_[id].dataCentre_ = dataCentre;
        start(id);
    }

    /** A new process with nothing in memory. */
    void start(const std::string &id)
    {
        auto &node = nodes_.at(id);
        notesync::SyncOptions options;
        options.selfId_ = id;
        options.dataCentre_ = node.dataCentre_;
        options.seed_ = random_.below(1'000'000'000);
        options.retention_ = retention_;
        node.sync_ = std::make_unique<notesync::NoteSync>(options, now_);
        node.isUp_ = true;
        node.applied_ = 0;
        node.nextGossip_ = now_ + gossipInterval;
        ++node.generation_;
        tick(id, node.generation_);
    }

    void stop(const std::string &id)
    {
        nodes_.at(id).isUp_ = false;
        ++nodes_.at(id).generation_;
    }

    void pause(const std::string &id) { nodes_.at(id).isPaused_ = true; }

    void resume(const std::string &id)
    {
        auto &node = nodes_.at(id);
        node.isPaused_ = false;
        for (auto &late : std::exchange(node.held_, {}))
            late();
    }

    void at(base::Millis delay, std::function<void()> function)
    {
        queue_.emplace(now_ + delay, std::move(function));
    }

    void runFor(base::Millis time)
    {
        const auto end = now_ + time;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            auto entry = queue_.extract(queue_.begin());
            now_ = entry.key();
            entry.mapped()();
        }
        now_ = end;
    }

    /** Appends to the log from outside. */
    std::uint64_t append(const std::string &record)
    {
        log_.records_.push_back(record);
        log_.times_.push_back(now_);
        return log_.records_.size() - 1;
    }

    /** Retention ends for all records that are older. */
    void trim(base::Millis retention = base::Millis(5000))
    {
        while (log_.first_ < log_.records_.size() && log_.times_[log_.first_] + retention < now_)
            ++log_.first_;
    }

    /** Publishes as an operator does: again, at any daemon, until the outcome is known. */
    void publish(const note::ReleaseNote &note)
    {
        const auto requestId = ++lastRequestId_;
        notes_.emplace(requestId, note);
        const auto id = anyUp();
        send(id, notesync::PublishRequested{requestId, note});
        at(base::Millis(12000), [this, requestId, note] {
            if (notes_.erase(requestId) > 0)
                publish(note);
        });
    }

    bool canReach(const std::string &a, const std::string &b) const
    {
        const auto &left = nodes_.at(a).dataCentre_;
        const auto &right = nodes_.at(b).dataCentre_;
        return left == right || (!isolated_.contains(left) && !isolated_.contains(right));
    }

    /** Daemons that have the revision in force. */
    std::size_t countAtLeast(model::Revision revision) const
    {
        std::size_t count = 0;
        for (const auto &[id, node] : nodes_)
            count += node.applied_ >= revision ? 1 : 0;
        return count;
    }

    void reached(Step step)
    {
        if (onStep_)
            onStep_(step);
    }

    std::map<std::string, Node> nodes_;
    Log log_;
    std::set<std::string> isolated_; ///< data centres cut off from the others
    std::map<std::string, note::Outcome> decided_;
    std::vector<std::string> violations_;
    std::function<void(Step)> onStep_;
    model::Revision watched_ = 0; ///< revision whose spread gives the steps
    base::Millis retention_ = base::Millis(3600 * 1000);
    base::Millis now_;
    base::Random random_;

private:
    static constexpr base::Millis tickInterval = base::Millis(250);
    static constexpr base::Millis gossipInterval = base::Millis(1000);
    static constexpr base::Millis hop = base::Millis(1);
    static constexpr base::Millis lostAfter = base::Millis(2000);

    std::string anyUp()
    {
        std::vector<std::string> up;
        for (const auto &[id, node] : nodes_) {
            if (node.isUp_ && !node.isPaused_)
                up.push_back(id);
        }
        return up.empty() ? nodes_.begin()->first : up[random_.below(up.size())];
    }

    void tick(const std::string &id, int generation)
    {
        if (nodes_.at(id).generation_ != generation)
            return;
        if (!nodes_.at(id).isPaused_) {
            if (now_ >= nodes_.at(id).nextGossip_) {
                nodes_.at(id).nextGossip_ = now_ + gossipInterval;
                send(id, notesync::MembersChanged{membersSeenBy(id)});
            }
            send(id, notesync::Tick{});
        }
        at(tickInterval, [this, id, generation] { tick(id, generation); });
    }

    using Members = std::shared_ptr<const std::vector<model::Member>>;

    /** Daemons of one data centre see the same; one list a second is made for all of them. */
    Members membersSeenBy(const std::string &id)
    {
        const auto &viewer = nodes_.at(id).dataCentre_;
        auto &[madeAt, members] = views_[viewer];
        if (members && madeAt + gossipInterval > now_)
            return members;
        auto fresh = std::make_shared<std::vector<model::Member>>();
        for (const auto &[other, node] : nodes_) {
            if (!node.isUp_ || node.isPaused_ || !canReach(id, other))
                continue;
            model::Member member;
            member.id_ = other;
            member.dataCentre_ = node.dataCentre_;
            member.controlAddress_.host_ = other;
            member.revision_ = node.applied_;
            fresh->push_back(member);
        }
        madeAt = now_;
        members = std::move(fresh);
        return members;
    }

    void send(const std::string &id, const notesync::Event &event)
    {
        auto &node = nodes_.at(id);
        if (!node.isUp_)
            return;
        if (node.isPaused_) {
            node.held_.push_back([this, id, event] { send(id, event); });
            return;
        }
        for (const auto &command : node.sync_->handle(event, now_))
            std::visit([&](const auto &c) { run(id, c); }, command);
    }

    /** Delivers an event unless the process has been replaced by then. */
    void later(base::Millis delay, const std::string &id, const notesync::Event &event)
    {
        at(delay, [this, id, event, generation = nodes_.at(id).generation_] {
            if (nodes_.at(id).generation_ == generation)
                send(id, event);
        });
    }

    bool canReachLog(const std::string &id) const
    {
        return !log_.isDown_ && !log_.cutOff_.contains(nodes_.at(id).dataCentre_);
    }

    void run(const std::string &id, const notesync::ReadLog &command)
    {
        ++log_.reads_;
        if (!canReachLog(id)) {
            later(lostAfter, id,
                  notesync::ReadCompleted{
                          tl::unexpected(logclient::LogError(logclient::NoAnswer{}))});
            return;
        }
        later(log_.delay_, id, notesync::ReadCompleted{read(command.from_, command.maxRecords_)});
    }

    logclient::ReadResult read(std::uint64_t from, std::size_t max) const
    {
        const std::uint64_t next = log_.records_.size();
        if (from < log_.first_)
            return tl::unexpected(logclient::LogError(logclient::Trimmed{log_.first_, next}));
        logclient::LogPage page{{}, log_.first_, next};
        for (auto i = from; i < next && page.records_.size() < max; ++i)
            page.records_.push_back({i, log_.records_[i]});
        if (page.records_.size() > log_.maxPage_)
            return tl::unexpected(logclient::LogError(logclient::NoAnswer{"too large"}));
        return page;
    }

    void run(const std::string &id, const notesync::AppendRecord &command)
    {
        reached(Step::AppendSent);
        using logclient::LogError;
        if (!canReachLog(id)) {
            const LogError error = random_.below(2) == 0 ? LogError(logclient::Unavailable{})
                                                         : LogError(logclient::NoAnswer{});
            later(hop, id, notesync::AppendCompleted{command.requestId_, tl::unexpected(error)});
            return;
        }
        ++log_.appends_;
        at(log_.delay_, [this, id, command] {
            const auto offset = append(command.data_);
            notesync::AppendCompleted answer{command.requestId_, offset};
            if (log_.losesAnswers_)
                answer.result_ = tl::unexpected(LogError(logclient::NoAnswer{}));
            if (command.requestId_ != 0)
                watched_ = offset + 1;
            reached(Step::Appended);
            later(log_.delay_, id, answer);
        });
    }

    void run(const std::string &id, const notesync::Pull &command)
    {
        const auto &peer = command.peerId_;
        notesync::PullCompleted answer{peer, std::nullopt};
        if (!nodes_.at(peer).isUp_ || nodes_.at(peer).isPaused_ || !canReach(id, peer)) {
            later(lostAfter, id, answer);
            return;
        }
        if (const auto update = nodes_.at(peer).sync_->answerPull(command.query_)) {
            const auto decoded = notesync::decodeUpdate(notesync::encodeUpdate(*update));
            if (!decoded)
                violations_.push_back(decoded.error().message_);
            else
                answer.update_ = *decoded;
        }
        later(hop * 2, id, answer);
    }

    void run(const std::string &id, const notesync::Announce &command)
    {
        const auto &peer = command.address_.host_;
        if (canReach(id, peer))
            later(hop, peer, notesync::AnnouncementReceived{command.announcement_});
    }

    void run(const std::string &id, const notesync::ApplyConfig &command)
    {
        auto &node = nodes_.at(id);
        if (command.config_->revision_ < node.applied_)
            violations_.push_back(id + " went back to an older revision");
        node.applied_ = command.config_->revision_;
        if (watched_ == 0)
            return;
        const auto there = countAtLeast(watched_);
        if (there >= 1)
            reached(Step::FirstInForce);
        if (there * 2 >= nodes_.size())
            reached(Step::HalfInForce);
        if (there == nodes_.size())
            reached(Step::AllInForce);
    }

    void run(const std::string &, const notesync::FinishPublish &command)
    {
        const auto found = notes_.extract(command.requestId_);
        if (found.empty())
            return;
        const auto note = found.mapped();
        if (const auto *decided = std::get_if<notesync::Decided>(&command.result_)) {
            const auto [it, isNew] = decided_.emplace(note.id_, decided->outcome_);
            if (!isNew && it->second != decided->outcome_)
                violations_.push_back("two outcomes of note " + note.id_);
        } else {
            at(base::Millis(1000), [this, note] { publish(note); });
        }
    }

    std::map<std::string, std::pair<base::Millis, Members>> views_;
    std::multimap<base::Millis, std::function<void()>> queue_;
    std::map<notesync::RequestId, note::ReleaseNote> notes_;
    notesync::RequestId lastRequestId_ = 0;
};
