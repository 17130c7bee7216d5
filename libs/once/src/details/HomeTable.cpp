#include <details/HomeTable.h>

#include <base/Overloaded.h>

namespace once::details {

HomeTable::HomeTable(const HomeSettings &settings)
    : settings_(settings)
    , serials_(settings.serialWindow_)
{}

HomeTable::Found HomeTable::findOrCreate(const Request &request, base::Millis now)
{
    return std::visit(
            base::Overloaded{
                    [&](const Key &key) { return findIssued(request, key, now); },
                    [&](const ContextKey &key) { return findInContext(request, key, now); },
            },
            request.key_);
}

HomeTable::Found HomeTable::findIssued(const Request &request, const Key &key, base::Millis now)
{
    if (records_.contains(key.serial_))
        return key.serial_;
    const bool isUnused = serials_.isProvablyUnused(key.serial_);
    const bool isExpired = now >= key.expiry_;
    if (isUnused && isExpired) {
        serials_.use(key.serial_);
        return NotRun{Reason::KeyExpired, {}};
    }
    if (isUnused)
        return firstUse(key.serial_, request, key.expiry_, now);
    // Records outlive the expiry, so that a used key without one was burned before it.
    if (!isExpired && serials_.isRemembered(key.serial_))
        return NotRun{Reason::KeyBurned, {}};
    return Unknown{Reason::KeyExpired};
}

HomeTable::Found HomeTable::findInContext(const Request &request, const ContextKey &key,
                                          base::Millis now)
{
    if (const auto context = contexts_.find(key.context_); context != contexts_.end()) {
        if (const auto known = context->second.find(key.text_); known != context->second.end()) {
            if (records_.contains(known->second))
                return known->second;
            return NotRun{Reason::KeyBurned, {}};
        }
    }
    // A refusal could not be remembered here, so it must not be promised.
    if (contextKeys_ >= settings_.maxRecords_)
        return Unknown{Reason::NoRoom};
    const auto id = serials_.issue();
    contexts_[key.context_].emplace(key.text_, id);
    ++contextKeys_;
    return firstUse(id, request, base::Millis::max(), now);
}

HomeTable::Found HomeTable::firstUse(RecordId id, const Request &request, base::Millis expiry,
                                     base::Millis now)
{
    serials_.use(id);
    if (now >= request.deadline_)
        return NotRun{Reason::DeadlinePassed, {}};
    if (!hasRoom(now))
        return NotRun{Reason::NoRoom, settings_.retryAfter_};
    auto &record = records_[id];
    record.digest_ = request.digest_;
    record.expiry_ = expiry;
    record.startBy_ = request.deadline_;
    return id;
}

HomeRecord *HomeTable::find(RecordId id)
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

void HomeTable::erase(RecordId id)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return;
    if (const auto *finished = std::get_if<Finished>(&found->second.state_))
        answerBytes_ -= finished->answer_->bytes();
    records_.erase(found);
}

void HomeTable::finish(RecordId id, HomeRecord &record, AnswerPtr answer, base::Millis now)
{
    const auto bytes = answer->bytes();
    if (bytes <= settings_.maxOneAnswerBytes_ && bytes <= settings_.maxAnswerBytes_) {
        dropAnswers(settings_.maxAnswerBytes_ - bytes, now);
        if (answerBytes_ + bytes <= settings_.maxAnswerBytes_) {
            answerBytes_ += bytes;
            record.state_ = Finished{std::move(answer)};
            finished_.emplace_back(now, id);
            return;
        }
    }
    record.state_ = Unresolved{Reason::AnswerNotKept};
}

std::vector<RecordId> HomeTable::endContext(const std::string &context)
{
    std::vector<RecordId> ids;
    const auto found = contexts_.find(context);
    if (found == contexts_.end())
        return ids;
    for (const auto &[text, id] : found->second)
        ids.push_back(id);
    contextKeys_ -= ids.size();
    contexts_.erase(found);
    return ids;
}

bool HomeTable::hasRoom(base::Millis now)
{
    // The rest is for the answers of those that run already.
    const auto limit = settings_.maxAnswerBytes_ - settings_.maxAnswerBytes_ / 8;
    dropAnswers(limit, now);
    return records_.size() < settings_.maxRecords_ && answerBytes_ <= limit;
}

void HomeTable::dropAnswers(std::size_t targetBytes, base::Millis now)
{
    while (!finished_.empty()) {
        const auto [finishedAt, id] = finished_.front();
        auto *record = find(id);
        auto *finished = record ? std::get_if<Finished>(&record->state_) : nullptr;
        if (finished) {
            const bool isOld = now - finishedAt >= settings_.minAnswerAge_;
            if (answerBytes_ <= targetBytes || !isOld)
                return;
            answerBytes_ -= finished->answer_->bytes();
            record->state_ = Unresolved{Reason::AnswerNotKept};
        }
        finished_.pop_front();
    }
}

} // namespace once::details
