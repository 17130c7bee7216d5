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
class SnapshotPlan;
class Tail;
} // namespace details

/**
 * Decides how one daemon learns of release notes, publishes them and keeps them on the log.
 *
 * Has no I/O and no clock. A few daemons of each data centre read the log; the others ask peers.
 */
class NoteSync
{
public:
    NoteSync(SyncOptions options, base::Millis now);
    ~NoteSync();

    /** Takes an event and returns what has to be done. */
    std::vector<Command> handle(const Event &event, base::Millis now);

    /** Whether a configuration is in force. */
    bool hasConfig() const { return config_ != nullptr; }

    /** The configuration in force; null before the first one. */
    std::shared_ptr<const model::Config> config() const { return config_; }

    /** The folded state; null before the first one. */
    const note::State *state() const;

    /** Answer to another daemon's question; nothing without a state. */
    std::optional<Update> answerPull(const PullQuery &query) const;

    SyncStatus status() const;

private:
    void onEvent(const Event &event);
    void onLogRead(const logclient::ReadResult &result);
    void onPage(const logclient::LogPage &page);
    void onReadError(const logclient::LogError &error);
    void onPullEnded(const PullEnded &event);
    void take(const Update &update, const std::string &peerId);
    bool takeDelta(const Delta &delta);
    void takeWhole(const Whole &whole);
    void onAnnounced(const Announcement &announcement);
    void onLogAppended(const LogAppended &event);
    void addCommands(std::vector<Command> commands);
    void startFoldAt(std::uint64_t first);

    void settle();
    void applyConfig();
    void announce();
    void startRead();
    void startPull();
    const model::Member *choosePeer();
    void pull(const model::Member &peer);
    void appendSnapshot();
    base::Millis readInterval();
    void readFailed(std::string error);
    model::Revision ownRevision() const;
    bool isStateProven() const;

    const SyncOptions options_;
    base::Millis now_;
    base::Random random_;
    note::Fold fold_;
    std::vector<Command> commands_;
    std::unique_ptr<details::Election> election_;
    std::unique_ptr<details::Publisher> publisher_;
    std::unique_ptr<details::SnapshotPlan> snapshots_;
    std::unique_ptr<details::Tail> tail_;

    std::shared_ptr<const model::Config> config_;
    std::string digest_;
    bool stateChanged_ = false;                  ///< since the digest was computed
    bool isConfigStale_ = false;                 ///< the state may hold more than the configuration
    std::optional<base::Millis> peerStateSince_; ///< when a peer's state was first taken

    std::size_t recordsPerRead_;
    logclient::Backoff readBackoff_;
    bool reading_ = false;
    std::uint64_t readFrom_ = 0; ///< offset asked for by the outstanding read
    bool caughtUp_ = false;      ///< the last read reached the end of the log
    bool appendingSnapshot_ = false;
    base::Millis nextRead_;
    base::Millis logFallbackAt_;
    std::string logError_;

    logclient::Backoff pullBackoff_;
    bool pulling_ = false;
    bool wantWhole_ = false;
    std::string announcer_; ///< peer that announced something new; empty for none
    base::Millis nextPull_;
    base::Millis nextAntiEntropy_;
};

} // namespace notesync
