#include <rendezvous/Core.h>

#include <algorithm>

#include <base/Overloaded.h>
#include <model/Election.h>
#include <rendezvous/SeedRecord.h>

namespace rendezvous {

namespace {

constexpr std::string_view electionKey = "rendezvous";

/** The newest record of each daemon, newest first. */
std::vector<SeedRecord> newestPerDaemon(const std::vector<std::string> &records)
{
    std::vector<SeedRecord> latest;
    std::set<std::string> seen;
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        auto seed = SeedRecord::parse(*record);
        if (seed && seen.insert(seed->id_).second)
            latest.push_back(std::move(*seed));
    }
    return latest;
}

bool isElected(const std::vector<model::Member> &members, const Options &options)
{
    return model::isElectedFor(electionKey, members, options.selfId_, options.dataCentre_,
                               options.publishersPerDataCentre_);
}

} // namespace

Core::Core(const Options &options)
    : options_(options)
    , random_(options.seed_)
    , backoff_(options.firstReadDelay_, options.maxReadDelay_, options.seed_)
{}

std::vector<Command> Core::handle(const Event &event, base::Millis now)
{
    std::visit(base::Overloaded{
                       [&](const SeedsRequested &) { onSeedsRequested(now); },
                       [&](const MembersChanged &change) { onMembers(*change.members_, now); },
                       [&](const TailRead &tail) { onTail(tail.records_, now); },
                       [&](const ReadFailed &) { isReading_ = false; },
                       [&](const Tick &) { onTick(now); },
               },
               event);
    return std::exchange(commands_, {});
}

base::Millis Core::randomDelay(base::Millis maxDelay)
{
    const auto micros = static_cast<std::uint64_t>(maxDelay.micros()) + 1;
    return base::Millis::fromMicros(static_cast<std::int64_t>(random_.below(micros)));
}

void Core::read()
{
    if (isReading_)
        return;
    isReading_ = true;
    commands_.emplace_back(ReadTail{});
}

void Core::onSeedsRequested(base::Millis now)
{
    if (isReading_ || now < nextRead_)
        return;
    nextRead_ = now + backoff_.nextDelay();
    read();
}

void Core::onMembers(const std::vector<model::Member> &members, base::Millis now)
{
    memberIds_.clear();
    for (const auto &member : members)
        memberIds_.insert(member.id_);
    if (!isAlone())
        backoff_.reset();
    const bool isElectedNow = !isAlone() && isElected(members, options_);
    if (isElectedNow && !isPublisher_)
        nextRefresh_ = now + randomDelay(options_.appendSpread_);
    isPublisher_ = isElectedNow;
    if (!isAlone())
        appendAt_.reset();
}

void Core::onTail(const std::vector<std::string> &records, base::Millis now)
{
    isReading_ = false;
    AddSeeds seeds;
    for (const auto &seed : newestPerDaemon(records)) {
        const bool isOther = seed.id_ != options_.selfId_ && !memberIds_.contains(seed.id_);
        if (isOther && seeds.addresses_.size() < options_.maxSeeds_)
            seeds.addresses_.push_back(seed.controlAddress_);
    }
    const bool hasSeeds = !seeds.addresses_.empty();
    if (hasSeeds)
        commands_.emplace_back(std::move(seeds));
    // Daemons that restart together must not all append: within the spread most of them read an
    // address and join, which cancels the append.
    if (isAlone() && !appendAt_)
        appendAt_ = now + (hasSeeds ? options_.appendSpread_ : randomDelay(options_.appendSpread_));
}

void Core::onTick(base::Millis now)
{
    if (isPublisher_ && now >= nextRefresh_) {
        nextRefresh_ = now + options_.refreshInterval_ / 2 + randomDelay(options_.refreshInterval_);
        append(now);
        read();
    }
    if (appendAt_ && now >= *appendAt_) {
        appendAt_.reset();
        append(now);
    }
}

void Core::append(base::Millis now)
{
    if (lastAppend_ && now - *lastAppend_ < options_.appendInterval_)
        return;
    lastAppend_ = now;
    const SeedRecord self{options_.selfId_, options_.dataCentre_, options_.controlAddress_};
    commands_.emplace_back(Append{self.text()});
}

} // namespace rendezvous
