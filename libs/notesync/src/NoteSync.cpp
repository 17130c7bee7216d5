#include <notesync/NoteSync.h>

#include <algorithm>
#include <utility>

#include "details/Election.h"
#include "details/Publisher.h"
#include "details/SnapshotPlan.h"
#include "details/Tail.h"
#include <base/Hash.h>
#include <base/Overloaded.h>

namespace notesync {

namespace {

constexpr std::size_t maxRecordsPerRead = 256;
constexpr std::size_t readShrink = 4;
constexpr Ticket snapshotTicket = 0;
constexpr base::Millis readBackoffBase(500);
constexpr base::Millis readBackoffCap(8000);
constexpr base::Millis pullBackoffBase(250);
constexpr base::Millis pullBackoffCap(4000);
constexpr base::Millis publishPollInterval(200);
/** How long a new daemon looks for a newer state than the first that a peer gave. */
constexpr base::Millis firstStatePatience(3000);

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
    , snapshots_(std::make_unique<details::SnapshotPlan>(options_.retention_,
                                                         options_.snapshotRecords_, now))
    , tail_(std::make_unique<details::Tail>())
    , recordsPerRead_(maxRecordsPerRead)
    , readBackoff_(readBackoffBase, readBackoffCap, base::hash64("read", options_.seed_))
    , nextRead_(now + randomBelow(options_.startSpread_, random_))
    , logFallbackAt_(now + options_.logFallback_ + randomBelow(options_.logFallback_, random_))
    , pullBackoff_(pullBackoffBase, pullBackoffCap, base::hash64("pull", options_.seed_))
    , nextPull_(now)
    , nextAntiEntropy_(now + randomBelow(options_.antiEntropyInterval_, random_))
{}

NoteSync::~NoteSync() = default;

std::vector<Command> NoteSync::handle(const Event &event, base::Millis now)
{
    now_ = std::max(now_, now);
    onEvent(event);
    settle();
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
        return Same{};
    const bool isCovered = fold_.attached() && !query.digest_.empty() && query.next_ > 0
                           && query.next_ <= fold_.position() && tail_->covers(query.next_);
    if (isCovered)
        return Delta{query.next_, fold_.position(), digest_, tail_->recordsFrom(query.next_)};
    return Whole{*state()};
}

SyncStatus NoteSync::status() const
{
    return {hasConfig(),       config_ ? config_->revision_ : 0,
            digest_,           fold_.position(),
            fold_.attached(),  election_->isReader(),
            fold_.malformed(), snapshots_->appendedCount(),
            logError_};
}

void NoteSync::onEvent(const Event &event)
{
    std::visit(base::Overloaded{
                       [](const Tick &) {},
                       [this](const MembersChanged &e) { election_->update(e.members_); },
                       [this](const LogRead &e) { onLogRead(e.result_); },
                       [this](const LogAppended &e) { onLogAppended(e); },
                       [this](const PullEnded &e) { onPullEnded(e); },
                       [this](const Announced &e) { onAnnounced(e.announcement_); },
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

void NoteSync::onLogAppended(const LogAppended &event)
{
    if (event.ticket_ == snapshotTicket)
        appendingSnapshot_ = false;
    else
        addCommands(publisher_->appended(event));
    // Whether the append took effect is seen by reading on.
    nextRead_ = std::min(nextRead_, now_);
}

void NoteSync::onLogRead(const logclient::ReadResult &result)
{
    reading_ = false;
    if (result)
        onPage(*result);
    else
        onReadError(result.error());
}

void NoteSync::onPage(const logclient::LogPage &page)
{
    startFoldAt(page.first_);
    if (page.next_ < readFrom_) {
        readFailed("the log ends at offset " + std::to_string(page.next_)
                   + ", before what was read earlier: records were lost");
        return;
    }
    for (const auto &record : page.records_) {
        // A peer may have brought it while the log was slow to answer.
        if (record.offset_ < fold_.position())
            continue;
        fold_.apply(record.offset_, record.data_);
        tail_->add(record, fold_.snapshotEnd() == record.offset_ + 1);
        stateChanged_ = true;
    }
    readBackoff_.succeeded();
    recordsPerRead_ = std::min(recordsPerRead_ * 2, maxRecordsPerRead);
    logError_.clear();
    caughtUp_ = page.records_.empty() || fold_.position() >= page.next_;
    nextRead_ = caughtUp_ ? now_ + readInterval() : now_;
    if (caughtUp_)
        snapshots_->sawLog(fold_, page.first_, now_);
}

void NoteSync::startFoldAt(std::uint64_t first)
{
    const auto before = fold_.position();
    const bool hadState = state() != nullptr;
    fold_.noteFirst(first);
    if (fold_.position() != before)
        tail_->restart(fold_.position());
    stateChanged_ = stateChanged_ || (!hadState && state() != nullptr);
}

void NoteSync::onReadError(const logclient::LogError &error)
{
    const auto *trimmed = std::get_if<logclient::Trimmed>(&error);
    const auto before = fold_.position();
    if (trimmed != nullptr)
        startFoldAt(trimmed->first_);
    if (fold_.position() == before) {
        readFailed(logclient::text(error));
        return;
    }
    caughtUp_ = false;
    nextRead_ = now_;
}

void NoteSync::readFailed(std::string error)
{
    logError_ = std::move(error);
    caughtUp_ = false;
    nextRead_ = now_ + readBackoff_.failed();
    // Large records can make an answer too large to be taken.
    recordsPerRead_ = std::max<std::size_t>(recordsPerRead_ / readShrink, 1);
}

void NoteSync::onPullEnded(const PullEnded &event)
{
    pulling_ = false;
    const bool hadState = state() != nullptr;
    const auto before = ownRevision();
    if (event.update_)
        take(*event.update_, event.peerId_);
    const bool isProgress = ownRevision() > before || (!hadState && state() != nullptr);
    if (isProgress) {
        pullBackoff_.succeeded();
        nextPull_ = now_;
    } else {
        nextPull_ = now_ + pullBackoff_.failed();
    }
}

void NoteSync::take(const Update &update, const std::string &peerId)
{
    std::visit(base::Overloaded{
                       [](const Same &) {},
                       [&](const Delta &delta) {
                           if (takeDelta(delta))
                               return;
                           wantWhole_ = true;
                           announcer_ = peerId;
                       },
                       [this](const Whole &whole) { takeWhole(whole); },
               },
               update);
}

bool NoteSync::takeDelta(const Delta &delta)
{
    if (!fold_.attached() || fold_.position() < delta.from_)
        return false;
    if (fold_.position() > delta.to_)
        return true;
    // A copy keeps a wrong delta from being half applied.
    note::Fold next = fold_;
    for (const auto &record : delta.records_)
        next.apply(record.offset_, record.data_);
    next.skipTo(delta.to_);
    if (note::digestOf(*next.state()) != delta.digest_)
        return false;
    for (const auto &record : delta.records_) {
        if (record.offset_ >= fold_.position())
            tail_->add(record, false);
    }
    fold_ = std::move(next);
    stateChanged_ = true;
    return true;
}

void NoteSync::takeWhole(const Whole &whole)
{
    const auto before = fold_.position();
    const bool wasAttached = fold_.attached();
    fold_.adopt(whole.state_);
    if (fold_.attached() && (!wasAttached || fold_.position() != before))
        tail_->restart(fold_.position());
    if (!peerStateSince_)
        peerStateSince_ = now_;
    stateChanged_ = true;
    wantWhole_ = false;
}

void NoteSync::onAnnounced(const Announcement &announcement)
{
    if (announcement.digest_ == digest_)
        return;
    const bool isNewer =
            announcement.revision_ > ownRevision() || announcement.next_ >= fold_.position();
    if (isNewer)
        announcer_ = announcement.daemonId_;
}

void NoteSync::settle()
{
    if (std::exchange(stateChanged_, false) && state() != nullptr) {
        auto digest = note::digestOf(*state());
        if (std::exchange(digest_, digest) != digest)
            announce();
        isConfigStale_ = true;
    }
    if (isConfigStale_ && (hasConfig() || isStateProven()))
        applyConfig();
    addCommands(publisher_->settle(config_ ? state() : nullptr, now_));
}

bool NoteSync::isStateProven() const
{
    if (caughtUp_ && fold_.attached())
        return true;
    if (!peerStateSince_)
        return false;
    return ownRevision() >= election_->highestRevision()
           || now_ >= *peerStateSince_ + firstStatePatience;
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
    const Announcement announcement{options_.selfId_, fold_.position(), ownRevision(), digest_};
    for (const auto *peer : election_->sample(options_.announceFanOut_, random_))
        commands_.emplace_back(Announce{peer->controlAddress_, announcement});
}

void NoteSync::startRead()
{
    const bool isWanted = publisher_->isWaiting() || election_->isReader()
                          || (!hasConfig() && now_ >= logFallbackAt_);
    if (!isWanted || reading_ || now_ < nextRead_)
        return;
    reading_ = true;
    readFrom_ = fold_.position();
    commands_.emplace_back(ReadLog{readFrom_, recordsPerRead_});
}

base::Millis NoteSync::readInterval()
{
    if (publisher_->isWaiting())
        return publishPollInterval;
    const bool isRegular = election_->isReader() && !election_->isAlone();
    const auto interval = isRegular ? options_.pollInterval_ : options_.alonePollInterval_;
    return interval / 2 + randomBelow(interval / 2, random_);
}

void NoteSync::startPull()
{
    if (pulling_)
        return;
    if (const auto *peer = choosePeer())
        pull(*peer);
}

const model::Member *NoteSync::choosePeer()
{
    if (const auto id = std::exchange(announcer_, ""); !id.empty())
        return election_->find(id);
    if (now_ < nextPull_)
        return nullptr;
    if (state() == nullptr) {
        const auto highest = election_->highestRevision();
        return highest > 0 ? election_->peerAbove(highest - 1, random_)
                           : election_->anyPeer(random_);
    }
    if (election_->highestRevision() > ownRevision())
        return election_->peerAbove(ownRevision(), random_);
    return now_ >= nextAntiEntropy_ ? election_->anyPeer(random_) : nullptr;
}

void NoteSync::pull(const model::Member &peer)
{
    pulling_ = true;
    const auto interval = options_.antiEntropyInterval_;
    nextAntiEntropy_ = now_ + interval / 2 + randomBelow(interval, random_);
    const bool canFold = fold_.attached() && !std::exchange(wantWhole_, false);
    commands_.emplace_back(
            Pull{peer.id_, peer.controlAddress_, {canFold ? fold_.position() : 0, digest_}});
}

void NoteSync::appendSnapshot()
{
    const bool isAllowed = election_->isReader() && caughtUp_ && !appendingSnapshot_
                           && election_->highestRevision() <= ownRevision();
    if (!isAllowed || !snapshots_->isDue(fold_, election_->writerRank(), now_))
        return;
    appendingSnapshot_ = true;
    snapshots_->appended(now_);
    commands_.emplace_back(AppendRecord{snapshotTicket, note::encodeRecord(*fold_.snapshot())});
}

model::Revision NoteSync::ownRevision() const
{
    return fold_.state() ? fold_.state()->revision_ : 0;
}

} // namespace notesync
