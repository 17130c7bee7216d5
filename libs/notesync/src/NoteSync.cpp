#include <notesync/NoteSync.h>

#include <algorithm>
#include <utility>

#include "details/Election.h"
#include "details/LogTail.h"
#include "details/Publisher.h"
#include "details/SnapshotScheduler.h"
#include <base/Hash.h>
#include <base/Overloaded.h>

namespace notesync {

namespace {

constexpr std::size_t maxRecordsPerRead = 256;
constexpr std::size_t readSizeDivisor = 4;
constexpr RequestId snapshotRequestId = 0;
constexpr base::Millis readBackoffBase(500);
constexpr base::Millis readBackoffCap(8000);
constexpr base::Millis pullBackoffBase(250);
constexpr base::Millis pullBackoffCap(4000);
constexpr base::Millis publishPollInterval(200);
/** A new daemon waits up to this long for a newer state than the first one from a peer. */
constexpr base::Millis newerStateTimeout(3000);

base::Millis randomBelow(base::Millis bound, base::Random &random)
{
    const auto micros = static_cast<std::uint64_t>(std::max<std::int64_t>(bound.micros(), 1));
    return base::Millis::fromMicros(static_cast<std::int64_t>(random.below(micros)));
}

} // namespace

NoteSync::NoteSync(SyncOptions options, base::Millis now)
    : options_(std::move(options))
    , now_(now)
    , random_(options_.seed_)
    , election_(std::make_unique<details::Election>(options_.selfId_, options_.dataCentre_,
                                                    options_.readersPerDataCentre_))
    , publisher_(std::make_unique<details::Publisher>(options_.publishTimeout_))
    , snapshotScheduler_(std::make_unique<details::SnapshotScheduler>(
              options_.retention_, options_.recordsPerSnapshot_, now))
    , tail_(std::make_unique<details::LogTail>())
    , recordsPerRead_(maxRecordsPerRead)
    , readBackoff_(readBackoffBase, readBackoffCap, base::hash64("read", options_.seed_))
    , nextReadTime_(now + randomBelow(options_.startSpread_, random_))
    , logFallbackTime_(now + options_.logFallbackDelay_
                       + randomBelow(options_.logFallbackDelay_, random_))
    , pullBackoff_(pullBackoffBase, pullBackoffCap, base::hash64("pull", options_.seed_))
    , nextPullTime_(now)
    , nextAntiEntropyTime_(now + randomBelow(options_.antiEntropyInterval_, random_))
{}

NoteSync::~NoteSync() = default;

std::vector<Command> NoteSync::handle(const Event &event, base::Millis now)
{
    now_ = std::max(now_, now);
    onEvent(event);
    propagateState();
    startRead();
    startPull();
    appendSnapshot();
    return std::exchange(commands_, {});
}

const note::State *NoteSync::state() const
{
    return fold_.state() ? &*fold_.state() : nullptr;
}

std::optional<Update> NoteSync::answerPull(const PullQuery &query) const
{
    if (state() == nullptr)
        return std::nullopt;
    if (query.digest_ == digest_)
        return UpToDate{};
    const bool isDeltaAvailable = fold_.isComplete() && !query.digest_.empty()
                                  && query.nextOffset_ > 0 && query.nextOffset_ <= fold_.position()
                                  && tail_->covers(query.nextOffset_);
    if (isDeltaAvailable)
        return Delta{query.nextOffset_, fold_.position(), digest_,
                     tail_->recordsFrom(query.nextOffset_)};
    return FullState{*state()};
}

SyncStatus NoteSync::status() const
{
    return {hasConfig(),
            config_ ? config_->revision_ : 0,
            digest_,
            fold_.position(),
            fold_.isComplete(),
            election_->isReader(),
            fold_.malformedRecords(),
            snapshotScheduler_->appendedCount(),
            logError_};
}

void NoteSync::onEvent(const Event &event)
{
    std::visit(base::Overloaded{
                       [](const Tick &) {},
                       [this](const MembersChanged &e) { election_->setMembers(e.members_); },
                       [this](const ReadCompleted &e) { onReadCompleted(e.result_); },
                       [this](const AppendCompleted &e) { onAppendCompleted(e); },
                       [this](const PullCompleted &e) { onPullCompleted(e); },
                       [this](const AnnouncementReceived &e) { onAnnouncement(e.announcement_); },
                       [this](const PublishRequested &e) {
                           addCommands(publisher_->start(e, config_ ? state() : nullptr, now_));
                       },
               },
               event);
}

void NoteSync::addCommands(std::vector<Command> commands)
{
    std::move(commands.begin(), commands.end(), std::back_inserter(commands_));
}

void NoteSync::onAppendCompleted(const AppendCompleted &event)
{
    if (event.requestId_ == snapshotRequestId)
        isAppendingSnapshot_ = false;
    else
        addCommands(publisher_->onAppendCompleted(event));
    // The next read shows whether the append took effect.
    nextReadTime_ = std::min(nextReadTime_, now_);
}

void NoteSync::onReadCompleted(const logclient::ReadResult &result)
{
    isReading_ = false;
    if (result)
        onLogPage(*result);
    else
        onReadError(result.error());
}

void NoteSync::onLogPage(const logclient::LogPage &page)
{
    updateFirstOffset(page.first_);
    if (page.next_ < readOffset_) {
        onReadFailed("the log ends at offset " + std::to_string(page.next_)
                     + ", before the offset already read: records were lost");
        return;
    }
    for (const auto &record : page.records_) {
        // An update from a peer may already have covered this record during a slow read.
        if (record.offset_ < fold_.position())
            continue;
        fold_.apply(record.offset_, record.data_);
        tail_->add(record, fold_.snapshotEnd() == record.offset_ + 1);
        hasStateChanged_ = true;
    }
    readBackoff_.reset();
    recordsPerRead_ = std::min(recordsPerRead_ * 2, maxRecordsPerRead);
    logError_.clear();
    isCaughtUp_ = page.records_.empty() || fold_.position() >= page.next_;
    nextReadTime_ = isCaughtUp_ ? now_ + readInterval() : now_;
    if (isCaughtUp_)
        snapshotScheduler_->onLogEndReached(fold_, page.first_, now_);
}

void NoteSync::updateFirstOffset(std::uint64_t first)
{
    const auto oldPosition = fold_.position();
    const bool hadState = state() != nullptr;
    fold_.setFirstOffset(first);
    if (fold_.position() != oldPosition)
        tail_->restart(fold_.position());
    hasStateChanged_ = hasStateChanged_ || (!hadState && state() != nullptr);
}

void NoteSync::onReadError(const logclient::LogError &error)
{
    const auto *trimmed = std::get_if<logclient::Trimmed>(&error);
    const auto oldPosition = fold_.position();
    if (trimmed != nullptr)
        updateFirstOffset(trimmed->first_);
    if (fold_.position() == oldPosition) {
        onReadFailed(logclient::text(error));
        return;
    }
    isCaughtUp_ = false;
    nextReadTime_ = now_;
}

void NoteSync::onReadFailed(std::string error)
{
    logError_ = std::move(error);
    isCaughtUp_ = false;
    nextReadTime_ = now_ + readBackoff_.nextDelay();
    // Large records can make a response exceed the size limit; read fewer of them next time.
    recordsPerRead_ = std::max<std::size_t>(recordsPerRead_ / readSizeDivisor, 1);
}

void NoteSync::onPullCompleted(const PullCompleted &event)
{
    isPulling_ = false;
    const bool hadState = state() != nullptr;
    const auto oldRevision = stateRevision();
    if (event.update_)
        applyUpdate(*event.update_, event.peerId_);
    const bool isProgress = stateRevision() > oldRevision || (!hadState && state() != nullptr);
    if (isProgress) {
        pullBackoff_.reset();
        nextPullTime_ = now_;
    } else {
        nextPullTime_ = now_ + pullBackoff_.nextDelay();
    }
}

void NoteSync::applyUpdate(const Update &update, const std::string &peerId)
{
    std::visit(base::Overloaded{
                       [](const UpToDate &) {},
                       [&](const Delta &delta) {
                           if (applyDelta(delta))
                               return;
                           needsFullState_ = true;
                           announcingPeerId_ = peerId;
                       },
                       [this](const FullState &fullState) { applyFullState(fullState); },
               },
               update);
}

bool NoteSync::applyDelta(const Delta &delta)
{
    if (!fold_.isComplete() || fold_.position() < delta.fromOffset_)
        return false;
    if (fold_.position() > delta.toOffset_)
        return true;
    // Folds into a copy so that a delta with a wrong digest is not partially applied.
    note::Fold next = fold_;
    for (const auto &record : delta.records_)
        next.apply(record.offset_, record.data_);
    next.skipTo(delta.toOffset_);
    if (note::digestOf(*next.state()) != delta.digest_)
        return false;
    for (const auto &record : delta.records_) {
        if (record.offset_ >= fold_.position())
            tail_->add(record, false);
    }
    fold_ = std::move(next);
    hasStateChanged_ = true;
    return true;
}

void NoteSync::applyFullState(const FullState &fullState)
{
    const auto oldPosition = fold_.position();
    const bool wasComplete = fold_.isComplete();
    fold_.mergeState(fullState.state_);
    if (fold_.isComplete() && (!wasComplete || fold_.position() != oldPosition))
        tail_->restart(fold_.position());
    if (!firstPeerStateTime_)
        firstPeerStateTime_ = now_;
    hasStateChanged_ = true;
    needsFullState_ = false;
}

void NoteSync::onAnnouncement(const Announcement &announcement)
{
    if (announcement.digest_ == digest_)
        return;
    const bool isNewer = announcement.revision_ > stateRevision()
                         || announcement.nextOffset_ >= fold_.position();
    if (isNewer)
        announcingPeerId_ = announcement.daemonId_;
}

void NoteSync::propagateState()
{
    if (std::exchange(hasStateChanged_, false) && state() != nullptr) {
        auto digest = note::digestOf(*state());
        if (std::exchange(digest_, digest) != digest)
            announce();
        isConfigStale_ = true;
    }
    if (isConfigStale_ && (hasConfig() || canApplyFirstConfig()))
        applyConfig();
    addCommands(publisher_->completeRequests(config_ ? state() : nullptr, now_));
}

bool NoteSync::canApplyFirstConfig() const
{
    if (isCaughtUp_ && fold_.isComplete())
        return true;
    if (!firstPeerStateTime_)
        return false;
    return stateRevision() >= election_->highestPeerRevision()
           || now_ >= *firstPeerStateTime_ + newerStateTimeout;
}

void NoteSync::applyConfig()
{
    isConfigStale_ = false;
    auto config = note::configOf(*state());
    if (config_ && *config_ == config)
        return;
    config_ = std::make_shared<const model::Config>(std::move(config));
    commands_.emplace_back(ApplyConfig{config_});
}

void NoteSync::announce()
{
    const Announcement announcement{options_.selfId_, fold_.position(), stateRevision(), digest_};
    for (const auto *peer : election_->samplePeers(options_.announceFanOut_, random_))
        commands_.emplace_back(Announce{peer->controlAddress_, announcement});
}

void NoteSync::startRead()
{
    const bool isReadNeeded = publisher_->hasPendingRequests() || election_->isReader()
                              || (!hasConfig() && now_ >= logFallbackTime_);
    if (!isReadNeeded || isReading_ || now_ < nextReadTime_)
        return;
    isReading_ = true;
    readOffset_ = fold_.position();
    commands_.emplace_back(ReadLog{readOffset_, recordsPerRead_});
}

base::Millis NoteSync::readInterval()
{
    if (publisher_->hasPendingRequests())
        return publishPollInterval;
    const bool isRegularReader = election_->isReader() && !election_->isAlone();
    const auto interval = isRegularReader ? options_.pollInterval_ : options_.alonePollInterval_;
    return interval / 2 + randomBelow(interval / 2, random_);
}

void NoteSync::startPull()
{
    if (isPulling_)
        return;
    if (const auto *peer = choosePeer())
        pull(*peer);
}

const model::Member *NoteSync::choosePeer()
{
    if (const auto id = std::exchange(announcingPeerId_, ""); !id.empty())
        return election_->find(id);
    if (now_ < nextPullTime_)
        return nullptr;
    if (state() == nullptr) {
        const auto peerRevision = election_->highestPeerRevision();
        return peerRevision > 0 ? election_->peerAbove(peerRevision - 1, random_)
                                : election_->randomPeer(random_);
    }
    if (election_->highestPeerRevision() > stateRevision())
        return election_->peerAbove(stateRevision(), random_);
    return now_ >= nextAntiEntropyTime_ ? election_->randomPeer(random_) : nullptr;
}

void NoteSync::pull(const model::Member &peer)
{
    isPulling_ = true;
    const auto interval = options_.antiEntropyInterval_;
    nextAntiEntropyTime_ = now_ + interval / 2 + randomBelow(interval, random_);
    const bool canApplyDelta = fold_.isComplete() && !std::exchange(needsFullState_, false);
    commands_.emplace_back(
            Pull{peer.id_, peer.controlAddress_, {canApplyDelta ? fold_.position() : 0, digest_}});
}

void NoteSync::appendSnapshot()
{
    const bool isAllowed = election_->isReader() && isCaughtUp_ && !isAppendingSnapshot_
                           && election_->highestPeerRevision() <= stateRevision();
    if (!isAllowed || !snapshotScheduler_->isDue(fold_, election_->writerRank(), now_))
        return;
    isAppendingSnapshot_ = true;
    snapshotScheduler_->onAppended(now_);
    commands_.emplace_back(AppendRecord{snapshotRequestId, note::encodeRecord(*fold_.snapshot())});
}

model::Revision NoteSync::stateRevision() const
{
    return fold_.state() ? fold_.state()->revision_ : 0;
}

} // namespace notesync
