#include <membership/Core.h>

#include <details/CoreImpl.h>

namespace membership {
namespace {

/** Mixed into the seed, so that other users of the seed draw different random numbers. */
constexpr std::uint64_t randomStream = 0x6d656d6265727368ULL;

} // namespace

Core::Impl::Impl(Options options)
    : options_(std::move(options))
    , timing_(options_.timing_)
    , self_(options_.self_)
    , table_(options_.timing_.relaysPerDataCentre_)
    , random_(options_.randomSeed_ ^ randomStream)
    , budget_(options_.timing_.gossipBytesPerSecond_, options_.timing_.gossipBurstBytes_)
{
    announceSelf();
}

Core::Core(Options options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{}

Core::~Core() = default;
Core::Core(Core &&) noexcept = default;
Core &Core::operator=(Core &&) noexcept = default;

std::vector<Command> Core::handle(const Event &event, base::Millis now)
{
    impl_->now_ = now;
    impl_->advanceClock();
    std::visit([this](const auto &alternative) { impl_->on(alternative); }, event);
    if (std::exchange(impl_->haveMembersChanged_, false))
        impl_->commands_.emplace_back(MembersChanged{});
    return std::exchange(impl_->commands_, {});
}

const model::Member &Core::self() const
{
    return impl_->self_;
}

std::vector<model::Member> Core::members() const
{
    std::vector<model::Member> members;
    for (const auto &[id, entry] : impl_->table_.entries()) {
        if (entry.record_.isLive())
            members.push_back(entry.record_.member_);
    }
    return members;
}

std::vector<Record> Core::state(base::Millis now, const std::string &dataCentre) const
{
    impl_->now_ = now;
    std::vector<Record> records;
    for (const auto &[id, entry] : impl_->table_.entries()) {
        if (dataCentre.empty() || entry.record_.member_.dataCentre_ == dataCentre)
            records.push_back(impl_->recordWithAge(entry));
    }
    return records;
}

const Record *Core::find(const std::string &id) const
{
    const auto *entry = impl_->table_.find(id);
    return entry ? &entry->record_ : nullptr;
}

bool Core::isIsolated(base::Millis now) const
{
    impl_->now_ = now;
    return impl_->isIsolated();
}

bool Core::hasJoined() const
{
    return impl_->hasJoined_;
}

bool Core::isCatchingUp() const
{
    return impl_->isCatchingUp_;
}

std::vector<std::string> Core::unreachableDataCentres(base::Millis now) const
{
    impl_->now_ = now;
    std::vector<std::string> names;
    for (const auto &dataCentre : impl_->otherDataCentres()) {
        if (impl_->isUnreachable(dataCentre))
            names.push_back(dataCentre);
    }
    return names;
}

bool Core::isRelay() const
{
    return impl_->isRelay();
}

model::Revision Core::highestRevision() const
{
    return impl_->highestRevision_;
}

std::vector<RevisionSummary> Core::revisions() const
{
    return impl_->revisions_.all();
}

} // namespace membership
