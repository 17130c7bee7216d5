#include <details/HomeTable.h>

#include <base/Overloaded.h>

namespace once::details {

HomeTable::HomeTable(const HomeSettings &settings)
    : settings_(settings)
    , serials_(settings.serialWindow_)
{}

HomeTable::LookupResult HomeTable::findOrCreate(const Request &request, base::Millis now)
{
    return std::visit(
            base::Overloaded{
                    [&](const Key &key) { return findIssued(request, key, now); },
                    [&](const ContextKey &key) { return findInContext(request, key, now); },
            },
            request.key_);
}

HomeTable::LookupResult HomeTable::findIssued(const Request &request, const Key &key,
                                              base::Millis now)
{
    if (records_.contains(key.serial_))
        return key.serial_;
    if (serials_.useOf(key.serial_) != SerialUse::Unused)
        return outcomeWithoutRecord(key.serial_, key.expiry_, now);
    if (now < key.expiry_)
        return createRecord(key.serial_, request, key.expiry_, now);
    serials_.mark(key.serial_, SerialUse::Burned);
    return NotRun{Reason::KeyExpired, {}};
}

HomeTable::LookupResult HomeTable::findInContext(const Request &request, const ContextKey &key,
                                                 base::Millis now)
{
    if (const auto context = contexts_.find(key.context_); context != contexts_.end()) {
        if (const auto recorded = context->second.find(key.text_);
            recorded != context->second.end()) {
            if (records_.contains(recorded->second))
                return recorded->second;
            return outcomeWithoutRecord(recorded->second, base::Millis::max(), now);
        }
    }
    // A refusal could not be recorded, so a repetition might run: NotRun must not be promised.
    if (contextKeys_ >= settings_.maxRecords_)
        return Unknown{Reason::NoRoom};
    const auto id = serials_.issue();
    contexts_[key.context_].emplace(key.text_, id);
    ++contextKeys_;
    return createRecord(id, request, base::Millis::max(), now);
}

/** The outcome of a used key that has no record. */
HomeTable::LookupResult HomeTable::outcomeWithoutRecord(RecordId id, base::Millis expiry,
                                                        base::Millis now) const
{
    const auto use = serials_.useOf(id);
    if (use == SerialUse::Burned)
        return NotRun{Reason::KeyBurned, {}};
    if (now >= expiry)
        return Unknown{Reason::KeyExpired};
    return Unknown{use == SerialUse::Forgotten ? Reason::Forgotten : Reason::AnswerNotKept};
}

HomeTable::LookupResult HomeTable::createRecord(RecordId id, const Request &request,
                                                base::Millis expiry, base::Millis now)
{
    serials_.mark(id, SerialUse::Burned);
    if (now >= request.deadline_)
        return NotRun{Reason::DeadlinePassed, {}};
    if (!hasRoom(now))
        return NotRun{Reason::NoRoom, settings_.retryAfter_};
    serials_.mark(id, SerialUse::Used);
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

void HomeTable::burn(RecordId id)
{
    serials_.mark(id, SerialUse::Burned);
    erase(id);
}

void HomeTable::finish(RecordId id, HomeRecord &record, AnswerPtr answer, base::Millis now)
{
    const auto bytes = answer->bytes();
    if (bytes <= settings_.maxOneAnswerBytes_ && bytes <= settings_.maxAnswerBytes_) {
        evictDecided(settings_.maxRecords_, settings_.maxAnswerBytes_ - bytes, now);
        if (answerBytes_ + bytes <= settings_.maxAnswerBytes_) {
            answerBytes_ += bytes;
            record.state_ = Finished{std::move(answer)};
            decided_.emplace_back(now, id);
            return;
        }
    }
    resolve(id, record, Reason::AnswerNotKept, now);
}

void HomeTable::resolve(RecordId id, HomeRecord &record, Reason reason, base::Millis now)
{
    record.state_ = Unresolved{reason};
    decided_.emplace_back(now, id);
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
    // Reserves an eighth for the answers of requests that are already running.
    const auto maxBytes = settings_.maxAnswerBytes_ - settings_.maxAnswerBytes_ / 8;
    evictDecided(settings_.maxRecords_ - 1, maxBytes, now);
    return records_.size() < settings_.maxRecords_ && answerBytes_ <= maxBytes;
}

/** Evicts decided records past their minimum retention, oldest first, while over the limits. */
void HomeTable::evictDecided(std::size_t maxRecords, std::size_t maxBytes, base::Millis now)
{
    while (!decided_.empty()) {
        const auto [decidedAt, id] = decided_.front();
        if (records_.contains(id)) {
            const bool isOverLimit = records_.size() > maxRecords || answerBytes_ > maxBytes;
            if (!isOverLimit || now - decidedAt < settings_.minAnswerAge_)
                return;
            erase(id);
        }
        decided_.pop_front();
    }
}

} // namespace once::details
