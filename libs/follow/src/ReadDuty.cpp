#include <follow/ReadDuty.h>

#include <algorithm>
#include <utility>

namespace follow {

namespace {

/** Daemons that are asked besides the readers: those that stand in for them first. */
constexpr std::size_t askedStandIns = 3;

} // namespace

ReadDuty::ReadDuty(const Options &options)
    : options_(options)
{}

void ReadDuty::setPeers(Peers peers, base::Millis now)
{
    if (peers == peers_)
        return;
    const bool wasElected = isElected();
    peers_ = std::move(peers);
    // Spreads the inquiries over the readers.
    nextCandidate_ = peers_.higherRanked_.size() % readerCount();
    if (wasElected && !isElected()) {
        isStandIn_ = true;
        nextInquiry_ = now;
    }
}

void ReadDuty::confirm(base::Millis coveredUntil)
{
    if (!confirmedAt_ || coveredUntil > *confirmedAt_)
        confirmedAt_ = coveredUntil;
}

std::optional<FetchConfig> ReadDuty::onAnswer(const InquiryEnded &answer, base::Millis now)
{
    const auto node = pending_.extract(answer.inquiry_);
    if (node.empty())
        return std::nullopt;
    const auto &inquiry = node.mapped();
    const auto &confirmation = answer.confirmation_;
    if (confirmation && confirmation->revision_ > revision_)
        return FetchConfig{inquiry.to_, confirmation->revision_};
    if (confirmation && confirmation->revision_ == revision_) {
        // The answer was given after the inquiry, so the evidence is not older than this.
        const auto confirmedAt = inquiry.askedAt_ - confirmation->age_;
        confirm(confirmedAt);
        if (!inquiry.isFallback_ && now - confirmedAt < options_.askAge_) {
            if (std::exchange(isStandIn_, false))
                nextInquiry_ = now;
            lastInquiryEnd_.reset();
            return std::nullopt;
        }
    }
    if (!inquiry.isFallback_)
        ++nextCandidate_;
    return std::nullopt;
}

std::vector<Inquire> ReadDuty::advance(base::Millis now)
{
    auto inquiries = advanceDuty(now);
    if (mustAskFallback(now)) {
        nextFallbackInquiry_ = now + options_.fallbackInterval_;
        inquiries.push_back(inquireFallback(now));
    }
    return inquiries;
}

std::vector<Inquire> ReadDuty::advanceDuty(base::Millis now)
{
    if (isElected())
        return {};
    if (isStandIn_) {
        if (now < nextInquiry_)
            return {};
        nextInquiry_ = now + options_.standInAskInterval_;
        return {inquire(now)};
    }
    const auto age = evidenceAge(now);
    if (age < longestReliance()) {
        lastInquiryEnd_.reset();
        if (age < options_.askAge_ || now < nextInquiry_)
            return {};
        nextInquiry_ = now + options_.minAskInterval_;
        return {inquire(now)};
    }
    if (!lastInquiryEnd_) {
        lastInquiryEnd_ = now + options_.lastInquiry_;
        return inquireAll(now);
    }
    if (now >= *lastInquiryEnd_) {
        lastInquiryEnd_.reset();
        isStandIn_ = true;
        nextInquiry_ = now + options_.standInAskInterval_;
    }
    return {};
}

bool ReadDuty::mustAskFallback(base::Millis now) const
{
    return !peers_.fallback_.empty() && evidenceAge(now) >= options_.inTouchAge_
           && now >= nextFallbackInquiry_;
}

base::Millis ReadDuty::nextStep() const
{
    return std::min(nextDutyStep(), nextFallbackStep());
}

base::Millis ReadDuty::nextFallbackStep() const
{
    if (peers_.fallback_.empty())
        return base::Millis::max();
    const auto becomesOld = confirmedAt_ ? *confirmedAt_ + options_.inTouchAge_ : base::Millis();
    return std::max(becomesOld, nextFallbackInquiry_);
}

base::Millis ReadDuty::nextDutyStep() const
{
    if (isElected())
        return base::Millis::max();
    if (isStandIn_)
        return nextInquiry_;
    if (lastInquiryEnd_)
        return *lastInquiryEnd_;
    const auto confirmedAt = confirmedAt_.value_or(base::Millis());
    return std::min(std::max(confirmedAt + options_.askAge_, nextInquiry_),
                    confirmedAt + longestReliance());
}

bool ReadDuty::isElected() const
{
    return peers_.higherRanked_.size() < readerCount();
}

base::Millis ReadDuty::evidenceAge(base::Millis now) const
{
    return confirmedAt_ ? now - *confirmedAt_ : base::Millis::max();
}

std::optional<Confirmation> ReadDuty::confirmation(base::Millis now) const
{
    if (!confirmedAt_)
        return std::nullopt;
    return Confirmation{revision_, std::max(base::Millis(), now - *confirmedAt_)};
}

std::size_t ReadDuty::readerCount() const
{
    return std::max(options_.minReaders_, peers_.members_ / options_.membersPerReader_);
}

std::size_t ReadDuty::candidateCount() const
{
    return std::min(peers_.higherRanked_.size(), readerCount() + askedStandIns);
}

/** Age of the evidence up to which this daemon relies on others, by its rank. */
base::Millis ReadDuty::longestReliance() const
{
    const auto rank = peers_.higherRanked_.size() - readerCount();
    const auto delay = options_.rankDelay_ * static_cast<std::int64_t>(rank);
    return options_.maxAge_ + std::min(delay, options_.maxRankDelay_);
}

Inquire ReadDuty::inquire(base::Millis now)
{
    const auto &to = peers_.higherRanked_[nextCandidate_ % candidateCount()];
    pending_[++lastId_] = {to, now};
    return {lastId_, to};
}

Inquire ReadDuty::inquireFallback(base::Millis now)
{
    const auto &to = peers_.fallback_[nextFallback_++ % peers_.fallback_.size()];
    pending_[++lastId_] = {to, now, true};
    return {lastId_, to};
}

std::vector<Inquire> ReadDuty::inquireAll(base::Millis now)
{
    std::vector<Inquire> inquiries;
    const auto count = std::min(options_.maxInquiries_, candidateCount());
    for (std::size_t i = 0; i < count; ++i, ++nextCandidate_)
        inquiries.push_back(inquire(now));
    return inquiries;
}

} // namespace follow
