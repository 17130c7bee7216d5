#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <base/Random.h>
#include <logclient/Backoff.h>
#include <note/Fold.h>
#include <notesync/Command.h>
#include <notesync/Event.h>
#include <notesync/SyncOptions.h>
#include <notesync/SyncStatus.h>

namespace notesync {

namespace details {
class Election;
class Publisher;
class SnapshotScheduler;
class LogTail;
} // namespace details

/**
 * State machine of one daemon that receives and publishes release notes, and appends snapshots so
 * that they outlast the retention of the log.
 *
 * Does no I/O and reads no clock. A few daemons of each data centre read the log; the others pull
 * from peers.
 */
class NoteSync
{
public:
    NoteSync(SyncOptions options, base::Millis now);
    ~NoteSync();

    /** Processes an event and returns the commands to execute. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Whether a configuration is in force. */
    bool hasConfig() const { return config_ != nullptr; }

    /** The configuration in force; null before the first one. */
    std::shared_ptr<const model::Config> config() const { return config_; }

    /** The folded state; null before the first one. */
    const note::State *state() const;

    /** Update for the pull of another daemon; nullopt without a state. */
    std::optional<Update> answerPull(const PullQuery &query) const;

    SyncStatus status() const;

private:
    void onEvent(const Event &event);
    void onReadCompleted(const logclient::ReadResult &result);
    void onLogPage(const logclient::LogPage &page);
    void onReadError(const logclient::LogError &error);
    void onPullCompleted(const PullCompleted &event);
    void applyUpdate(const Update &update, const std::string &peerId);
    bool applyDelta(const Delta &delta);
    void applyFullState(const FullState &fullState);
    void onAnnouncement(const Announcement &announcement);
    void onAppendCompleted(const AppendCompleted &event);
    void addCommands(std::vector<Command> commands);
    void updateFirstOffset(std::uint64_t first);

    void propagateState();
    void applyConfig();
    void announce();
    void startRead();
    void startPull();
    const model::Member *choosePeer();
    void pull(const model::Member &peer);
    void appendSnapshot();
    base::Millis readInterval();
    void onReadFailed(std::string error);
    model::Revision stateRevision() const;
    bool canApplyFirstConfig() const;

    const SyncOptions options_;
    base::Millis now_;
    base::Random random_;
    note::Fold fold_;
    std::vector<Command> commands_;
    std::unique_ptr<details::Election> election_;
    std::unique_ptr<details::Publisher> publisher_;
    std::unique_ptr<details::SnapshotScheduler> snapshotScheduler_;
    std::unique_ptr<details::LogTail> tail_;

    std::shared_ptr<const model::Config> config_;
    std::string digest_;
    bool hasStateChanged_ = false;                   ///< since digest_ was computed
    bool isConfigStale_ = false;                     ///< the state may be newer than config_
    std::optional<base::Millis> firstPeerStateTime_; ///< when the first peer state was merged

    std::size_t recordsPerRead_;
    logclient::Backoff readBackoff_;
    bool isReading_ = false;
    std::uint64_t readOffset_ = 0; ///< offset of the outstanding read
    bool isCaughtUp_ = false;      ///< the last read reached the end of the log
    bool isAppendingSnapshot_ = false;
    base::Millis nextReadTime_;
    base::Millis logFallbackTime_;
    std::string logError_;

    logclient::Backoff pullBackoff_;
    bool isPulling_ = false;
    bool needsFullState_ = false;
    std::string announcingPeerId_; ///< peer to pull from next; empty for none
    base::Millis nextPullTime_;
    base::Millis nextAntiEntropyTime_;
};

} // namespace notesync
