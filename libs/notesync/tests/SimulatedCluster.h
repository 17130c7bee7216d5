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

/** Stages of a publication at which faults can be injected. */
enum class PublishStage { Start, AppendSent, Appended, FirstInForce, HalfInForce, AllInForce };

/** Daemons, their network and the log in simulated time, with fault injection. */
class SimulatedCluster
{
public:
    struct Node
    {
        std::unique_ptr<notesync::NoteSync> sync_;
        std::string dataCentre_;
        bool isUp_ = true;
        bool isPaused_ = false;
        int generation_ = 0;
        model::Revision appliedRevision_ = 0;
        base::Millis nextGossipTime_;
        std::vector<std::function<void()>> deferredEvents_; ///< events received while paused
    };

    struct Log
    {
        std::vector<std::string> records_;
        std::vector<base::Millis> appendTimes_;
        std::uint64_t first_ = 0;
        bool isDown_ = false;
        bool losesResponses_ = false;
        base::Millis delay_ = base::Millis(20);
        std::size_t maxRecordsPerPage_ = 1000;  ///< larger responses are lost
        std::set<std::string> unreachableFrom_; ///< data centres without access to the log
        std::uint64_t reads_ = 0;
        std::uint64_t appends_ = 0;
    };

    explicit SimulatedCluster(std::uint64_t seed)
        : random_(seed)
    {}

    void addNode(const std::string &id, const std::string &dataCentre)
    {
        nodes_[id].dataCentre_ = dataCentre;
        start(id);
    }

    /** Starts a new process with empty memory. */
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
        node.appliedRevision_ = 0;
        node.nextGossipTime_ = now_ + gossipInterval;
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
        for (auto &event : std::exchange(node.deferredEvents_, {}))
            event();
    }

    void schedule(base::Millis delay, std::function<void()> function)
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

    /** Appends a record to the log directly, without a daemon. */
    std::uint64_t append(const std::string &record)
    {
        log_.records_.push_back(record);
        log_.appendTimes_.push_back(now_);
        return log_.records_.size() - 1;
    }

    /** Trims the records older than the retention. */
    void trim(base::Millis retention = base::Millis(5000))
    {
        while (log_.first_ < log_.records_.size()
               && log_.appendTimes_[log_.first_] + retention < now_)
            ++log_.first_;
    }

    /** Publishes like an operator: retries at a random daemon until the outcome is known. */
    void publish(const note::ReleaseNote &note)
    {
        const auto requestId = ++lastRequestId_;
        pendingNotes_.emplace(requestId, note);
        const auto id = randomRunningDaemon();
        send(id, notesync::PublishRequested{requestId, note});
        schedule(base::Millis(12000), [this, requestId, note] {
            if (pendingNotes_.erase(requestId) > 0)
                publish(note);
        });
    }

    bool canReach(const std::string &a, const std::string &b) const
    {
        const auto &leftDataCentre = nodes_.at(a).dataCentre_;
        const auto &rightDataCentre = nodes_.at(b).dataCentre_;
        return leftDataCentre == rightDataCentre
               || (!isolatedDataCentres_.contains(leftDataCentre)
                   && !isolatedDataCentres_.contains(rightDataCentre));
    }

    /** Number of daemons with this or a later revision in force. */
    std::size_t countInForce(model::Revision revision) const
    {
        std::size_t count = 0;
        for (const auto &[id, node] : nodes_)
            count += node.appliedRevision_ >= revision ? 1 : 0;
        return count;
    }

    void reportStage(PublishStage stage)
    {
        if (onStage_)
            onStage_(stage);
    }

    std::map<std::string, Node> nodes_;
    Log log_;
    std::set<std::string> isolatedDataCentres_; ///< data centres partitioned from the others
    std::map<std::string, note::Outcome> outcomes_;
    std::vector<std::string> violations_;
    std::function<void(PublishStage)> onStage_;
    model::Revision trackedRevision_ = 0; ///< revision whose propagation reports the stages
    base::Millis retention_ = base::Millis(3600 * 1000);
    base::Millis now_;
    base::Random random_;

private:
    static constexpr base::Millis tickInterval = base::Millis(250);
    static constexpr base::Millis gossipInterval = base::Millis(1000);
    static constexpr base::Millis networkDelay = base::Millis(1);
    static constexpr base::Millis requestTimeout = base::Millis(2000);

    std::string randomRunningDaemon()
    {
        std::vector<std::string> running;
        for (const auto &[id, node] : nodes_) {
            if (node.isUp_ && !node.isPaused_)
                running.push_back(id);
        }
        return running.empty() ? nodes_.begin()->first : running[random_.below(running.size())];
    }

    void tick(const std::string &id, int generation)
    {
        if (nodes_.at(id).generation_ != generation)
            return;
        if (!nodes_.at(id).isPaused_) {
            if (now_ >= nodes_.at(id).nextGossipTime_) {
                nodes_.at(id).nextGossipTime_ = now_ + gossipInterval;
                send(id, notesync::MembersChanged{memberListOf(id)});
            }
            send(id, notesync::Tick{});
        }
        schedule(tickInterval, [this, id, generation] { tick(id, generation); });
    }

    using Members = std::shared_ptr<const std::vector<model::Member>>;

    /** Live members, cached for one gossip interval: daemons of one data centre share a list. */
    Members memberListOf(const std::string &id)
    {
        const auto &dataCentre = nodes_.at(id).dataCentre_;
        auto &[createdAt, members] = memberLists_[dataCentre];
        if (members && createdAt + gossipInterval > now_)
            return members;
        auto newList = std::make_shared<std::vector<model::Member>>();
        for (const auto &[other, node] : nodes_) {
            if (!node.isUp_ || node.isPaused_ || !canReach(id, other))
                continue;
            model::Member member;
            member.id_ = other;
            member.dataCentre_ = node.dataCentre_;
            member.controlAddress_.host_ = other;
            member.revision_ = node.appliedRevision_;
            newList->push_back(member);
        }
        createdAt = now_;
        members = std::move(newList);
        return members;
    }

    void send(const std::string &id, const notesync::Event &event)
    {
        auto &node = nodes_.at(id);
        if (!node.isUp_)
            return;
        if (node.isPaused_) {
            node.deferredEvents_.push_back([this, id, event] { send(id, event); });
            return;
        }
        for (const auto &command : node.sync_->handle(event, now_))
            std::visit([&](const auto &c) { execute(id, c); }, command);
    }

    /** Delivers an event after a delay unless the process has been stopped or restarted by then. */
    void deliverAfter(base::Millis delay, const std::string &id, const notesync::Event &event)
    {
        schedule(delay, [this, id, event, generation = nodes_.at(id).generation_] {
            if (nodes_.at(id).generation_ == generation)
                send(id, event);
        });
    }

    bool canReachLog(const std::string &id) const
    {
        return !log_.isDown_ && !log_.unreachableFrom_.contains(nodes_.at(id).dataCentre_);
    }

    void execute(const std::string &id, const notesync::ReadLog &command)
    {
        ++log_.reads_;
        if (!canReachLog(id)) {
            deliverAfter(requestTimeout, id,
                         notesync::ReadCompleted{
                                 tl::unexpected(logclient::LogError(logclient::NoAnswer{}))});
            return;
        }
        deliverAfter(log_.delay_, id,
                     notesync::ReadCompleted{read(command.fromOffset_, command.maxRecords_)});
    }

    logclient::ReadResult read(std::uint64_t from, std::size_t max) const
    {
        const std::uint64_t next = log_.records_.size();
        if (from < log_.first_)
            return tl::unexpected(logclient::LogError(logclient::Trimmed{log_.first_, next}));
        logclient::LogPage page{{}, log_.first_, next};
        for (auto i = from; i < next && page.records_.size() < max; ++i)
            page.records_.push_back({i, log_.records_[i]});
        if (page.records_.size() > log_.maxRecordsPerPage_)
            return tl::unexpected(logclient::LogError(logclient::NoAnswer{"too large"}));
        return page;
    }

    void execute(const std::string &id, const notesync::AppendRecord &command)
    {
        reportStage(PublishStage::AppendSent);
        using logclient::LogError;
        if (!canReachLog(id)) {
            const LogError error = random_.below(2) == 0 ? LogError(logclient::Unavailable{})
                                                         : LogError(logclient::NoAnswer{});
            deliverAfter(networkDelay, id,
                         notesync::AppendCompleted{command.requestId_, tl::unexpected(error)});
            return;
        }
        ++log_.appends_;
        schedule(log_.delay_, [this, id, command] {
            const auto offset = append(command.data_);
            notesync::AppendCompleted answer{command.requestId_, offset};
            if (log_.losesResponses_)
                answer.result_ = tl::unexpected(LogError(logclient::NoAnswer{}));
            if (command.requestId_ != 0)
                trackedRevision_ = offset + 1;
            reportStage(PublishStage::Appended);
            deliverAfter(log_.delay_, id, answer);
        });
    }

    void execute(const std::string &id, const notesync::Pull &command)
    {
        const auto &peer = command.peerId_;
        notesync::PullCompleted answer{peer, std::nullopt};
        if (!nodes_.at(peer).isUp_ || nodes_.at(peer).isPaused_ || !canReach(id, peer)) {
            deliverAfter(requestTimeout, id, answer);
            return;
        }
        if (const auto update = nodes_.at(peer).sync_->answerPull(command.query_)) {
            const auto decoded = notesync::decodeUpdate(notesync::encodeUpdate(*update));
            if (!decoded)
                violations_.push_back(decoded.error().message_);
            else
                answer.update_ = *decoded;
        }
        deliverAfter(networkDelay * 2, id, answer);
    }

    void execute(const std::string &id, const notesync::Announce &command)
    {
        const auto &peer = command.address_.host_;
        if (canReach(id, peer))
            deliverAfter(networkDelay, peer, notesync::AnnouncementReceived{command.announcement_});
    }

    void execute(const std::string &id, const notesync::ApplyConfig &command)
    {
        auto &node = nodes_.at(id);
        if (command.config_->revision_ < node.appliedRevision_)
            violations_.push_back(id + " applied an older revision than before");
        node.appliedRevision_ = command.config_->revision_;
        if (trackedRevision_ == 0)
            return;
        const auto inForceCount = countInForce(trackedRevision_);
        if (inForceCount >= 1)
            reportStage(PublishStage::FirstInForce);
        if (inForceCount * 2 >= nodes_.size())
            reportStage(PublishStage::HalfInForce);
        if (inForceCount == nodes_.size())
            reportStage(PublishStage::AllInForce);
    }

    void execute(const std::string &, const notesync::FinishPublish &command)
    {
        const auto found = pendingNotes_.extract(command.requestId_);
        if (found.empty())
            return;
        const auto note = found.mapped();
        if (const auto *decided = std::get_if<notesync::Decided>(&command.result_)) {
            const auto [it, isNew] = outcomes_.emplace(note.id_, decided->outcome_);
            if (!isNew && it->second != decided->outcome_)
                violations_.push_back("different outcomes reported for note " + note.id_);
        } else {
            schedule(base::Millis(1000), [this, note] { publish(note); });
        }
    }

    std::map<std::string, std::pair<base::Millis, Members>> memberLists_;
    std::multimap<base::Millis, std::function<void()>> queue_;
    std::map<notesync::RequestId, note::ReleaseNote> pendingNotes_;
    notesync::RequestId lastRequestId_ = 0;
};
