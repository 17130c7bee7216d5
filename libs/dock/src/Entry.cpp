#include <dock/Entry.h>

#include <algorithm>

#include <base/Clock.h>
#include <base/Mac.h>
#include <dock/HeaderNames.h>
#include <dock/Messages.h>

#include "details/EntryImpl.h"

namespace dock {

namespace {

constexpr base::Millis retryAfterUnconfigured(1000);

} // namespace

Entry::Entry(net::Reactor &reactor, const settings::Settings &settings, once::Incarnation self,
             net::PeerClient &client, Executor &executor, retry::ContextTable &contexts,
             const CallInterface &interface, details::Allowances &allowances)
    : impl_(std::make_unique<Impl>(reactor, settings, std::move(self), client, executor, contexts,
                                   interface, allowances))
{}

Entry::~Entry() = default;

EntryId Entry::receive(net::HttpRequest request, RequestSource source, Respond respond)
{
    const auto id = impl_->nextId_++;
    auto &open = impl_->openRequests_[id];
    open.respond_ = std::move(respond);
    if (impl_->isClosed_) {
        impl_->finishUnserved(id, request, impl_->drainingRefusal());
        return 0;
    }
    if (!impl_->reader_.hasConfig()) {
        impl_->finishUnserved(
                id, request,
                refusal(statusUnavailable, "no-configuration", retryAfterUnconfigured));
        return 0;
    }
    auto call = impl_->reader_.read(request, source, impl_->settings_.id_ + std::to_string(id));
    if (!call) {
        impl_->refuseWithoutDestination(id, request);
        return 0;
    }
    if (call->denial_) {
        impl_->deny(id, *call);
        return 0;
    }
    if (!impl_->mayAccept(*call)) {
        impl_->refuseAsDraining(id, *call);
        return 0;
    }
    open.call_ = withoutContent(*call);
    if (const auto *allowance = impl_->allowanceOf(*call, source))
        impl_->startWithin(*allowance, id, std::move(*call));
    else
        impl_->start(id, std::move(*call), source);
    return impl_->openRequests_.contains(id) ? id : 0;
}

void Entry::cancel(EntryId id)
{
    if (const auto node = impl_->openRequests_.extract(id); !node.empty())
        impl_->cancelWork(node.mapped().work_);
}

std::vector<std::string> Entry::issueKeys(const std::string &customer, const std::string &service,
                                          std::size_t count)
{
    std::vector<std::string> keys;
    if (impl_->isDraining_)
        return keys;
    for (std::size_t i = 0; i < count; ++i)
        keys.push_back(
                impl_->home_
                        ->issueKey(customer.substr(0, details::RequestReader::maxCustomerBytes),
                                   service, base::monotonicNow())
                        .text());
    return keys;
}

void Entry::contextEnded(const std::string &token)
{
    impl_->keyedCalls_.contextEnded(token);
}

void Entry::contextCancelled(const std::string &token)
{
    std::vector<EntryId> children;
    for (const auto &[id, open] : impl_->openRequests_) {
        if (open.call_.contextToken_ == token && !impl_->needsKey(open.call_))
            children.push_back(id);
    }
    for (const auto id : children) {
        impl_->cancelWork(impl_->openRequests_.at(id).work_);
        impl_->finishWithOutcome(id, once::Unknown{once::Reason::Cancelled});
    }
}

void Entry::configure(std::shared_ptr<const model::Config> config)
{
    impl_->recorder_.configure(*config);
    impl_->reader_.configure(std::move(config));
}

void Entry::confirmConfig(base::Millis confirmedAt)
{
    impl_->reader_.confirm(confirmedAt);
}

void Entry::setMembers(Members members)
{
    impl_->members_ = std::move(members);
    impl_->memberById_.clear();
    for (const auto &member : *impl_->members_)
        impl_->memberById_[member.id_] = &member;
    impl_->routing_.handle(routing::MembersChanged{*impl_->members_}, base::monotonicNow());
}

void Entry::setIncarnation(once::Incarnation self)
{
    impl_->self_ = self;
    impl_->keyedCalls_.abandonAll();
    impl_->home_.emplace(std::move(self), Impl::homeSettings(impl_->settings_),
                         base::randomSecret());
}

void Entry::drain(drain::AcceptFunction accepts)
{
    impl_->isDraining_ = true;
    impl_->accepts_ = std::move(accepts);
}

void Entry::refuseRootRequests()
{
    impl_->isRefusingRoots_ = true;
}

void Entry::close()
{
    impl_->isClosed_ = true;
}

void Entry::takeBack()
{
    impl_->refuseHeld(once::NotRun{once::Reason::Draining, retryAfterClosed});
    std::vector<once::WaiterId> waiters;
    for (const auto &[id, open] : impl_->openRequests_) {
        const auto *keyed = std::get_if<Impl::KeyedWork>(&open.work_);
        if (keyed != nullptr && !open.call_.isChild())
            waiters.push_back(keyed->waiter_);
    }
    for (const auto waiter : waiters)
        impl_->keyedCalls_.withdraw(waiter, once::NotRun{once::Reason::Draining, retryAfterClosed});
}

void Entry::answerOpenRequests()
{
    std::vector<EntryId> ids;
    for (const auto &[id, open] : impl_->openRequests_)
        ids.push_back(id);
    for (const auto id : ids) {
        const auto found = impl_->openRequests_.find(id);
        if (found == impl_->openRequests_.end())
            continue;
        const auto outcome = impl_->abandon(found->second.work_);
        impl_->finishWithOutcome(id, outcome);
    }
}

void Entry::prune()
{
    impl_->selector_.prune(base::monotonicNow());
}

std::size_t Entry::activeCount() const
{
    return impl_->openRequests_.size();
}

std::size_t Entry::activeRootCount() const
{
    return static_cast<std::size_t>(
            std::count_if(impl_->openRequests_.begin(), impl_->openRequests_.end(),
                          [](const auto &entry) { return !entry.second.call_.isChild(); }));
}

std::vector<OpenRequest> Entry::openRequests() const
{
    std::vector<OpenRequest> requests;
    requests.reserve(impl_->openRequests_.size());
    for (const auto &[id, open] : impl_->openRequests_)
        requests.push_back({open.call_, impl_->executorOf(open.work_)});
    return requests;
}

const std::map<std::string, std::uint64_t> &Entry::redelegations() const
{
    return impl_->redelegationLog_.counts();
}

std::optional<LoadViewStatus> Entry::loadView() const
{
    if (!impl_->settings_.evenLoad_)
        return std::nullopt;
    LoadViewStatus view{.counters_ = impl_->routing_.loadCounters()};
    for (const auto &service : impl_->routing_.services())
        view.instances_[service] = impl_->routing_.instances(service, base::monotonicNow());
    return view;
}

const Recorder &Entry::recorder() const
{
    return impl_->recorder_;
}

} // namespace dock
