#include <dock/AttemptCodec.h>

#include <algorithm>
#include <charconv>
#include <optional>

#include <dock/HeaderNames.h>

namespace dock {

namespace {

using net::headerValue;

constexpr std::string_view kindRun = "run";
constexpr std::string_view kindOutcomeQuery = "ask";
constexpr std::string_view kindRecall = "recall";
constexpr std::string_view outcomeComplete = "complete";
constexpr std::string_view outcomeNotRun = "not-run";
constexpr std::string_view outcomeUnknown = "unknown";
constexpr std::string_view flagLeaving = "leaving";
constexpr std::string_view flagReplaced = "replaced";
constexpr int statusRefused = 503;
constexpr std::uint64_t maxTimeLeftMicros = 3'600'000'000;
constexpr std::uint64_t maxRetryAfterMs = 3'600'000;
constexpr std::uint64_t maxWaitMsLimit = 3'600'000;
constexpr std::uint64_t maxBudget = 1000;
constexpr std::uint64_t maxDepth = 1000;
constexpr std::uint64_t maxCompletedCalls = 1000;

std::string_view textOf(AttemptKind kind)
{
    switch (kind) {
    case AttemptKind::Run:
        return kindRun;
    case AttemptKind::QueryOutcome:
        return kindOutcomeQuery;
    case AttemptKind::Recall:
        return kindRecall;
    }
    return {};
}

std::optional<AttemptKind> parseKind(std::string_view text)
{
    for (const auto kind : {AttemptKind::Run, AttemptKind::QueryOutcome, AttemptKind::Recall}) {
        if (textOf(kind) == text)
            return kind;
    }
    return std::nullopt;
}

void add(net::Headers &headers, const std::string &name, std::string value)
{
    headers.push_back({name, std::move(value)});
}

std::uint64_t numberUpTo(const net::Headers &headers, const std::string &name, std::uint64_t max,
                         std::uint64_t fallback = 0)
{
    return std::min(numberOr(headerValue(headers, name), fallback), max);
}

net::Headers withoutPeerFields(net::Headers headers)
{
    std::erase_if(headers, [](const net::Header &field) {
        return field.name_.starts_with(header::peerPrefix);
    });
    return headers;
}

void addOutcome(net::HttpResponse &response, const once::Complete &complete)
{
    response.status_ = complete.answer_->status_;
    for (const auto &[name, value] : complete.answer_->headers_)
        add(response.headers_, name, value);
    response.body_ = complete.answer_->body_;
    add(response.headers_, header::kind, std::string(outcomeComplete));
}

void addOutcome(net::HttpResponse &response, const once::NotRun &notRun)
{
    response.status_ = statusRefused;
    add(response.headers_, header::kind, std::string(outcomeNotRun));
    add(response.headers_, header::peerReason, std::string(once::reasonText(notRun.reason_)));
    add(response.headers_, header::retryAfterMs, std::to_string(notRun.retryAfter_.count()));
}

void addOutcome(net::HttpResponse &response, const once::Unknown &unknown)
{
    response.status_ = statusRefused;
    add(response.headers_, header::kind, std::string(outcomeUnknown));
    add(response.headers_, header::peerReason, std::string(once::reasonText(unknown.reason_)));
}

once::Outcome completeOf(net::HttpResponse response)
{
    auto answer = std::make_shared<once::Answer>();
    answer->status_ = response.status_;
    for (auto &field : withoutPeerFields(std::move(response.headers_)))
        answer->headers_.emplace_back(std::move(field.name_), std::move(field.value_));
    answer->body_ = std::move(response.body_);
    return once::Complete{answer};
}

} // namespace

std::uint64_t numberOr(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || status != std::errc() || end != text.data() + text.size())
        return fallback;
    return value;
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::string_view names[] = {
            "connection", "keep-alive",    "proxy-connection", "transfer-encoding",
            "te",         "trailer",       "upgrade",          "content-length",
            "host",       "http2-settings"};
    return std::any_of(std::begin(names), std::end(names), [name](std::string_view candidate) {
        return net::equalsIgnoringCase(name, candidate);
    });
}

net::HttpRequest encodeAttempt(Attempt attempt)
{
    auto request = std::move(attempt.request_);
    auto &headers = request.headers_;
    add(headers, header::kind, std::string(textOf(attempt.kind_)));
    add(headers, header::service, attempt.service_);
    add(headers, header::requestClass, attempt.requestClass_);
    add(headers, header::peerCustomer, attempt.customer_);
    add(headers, header::priority, std::to_string(attempt.priority_.packed()));
    add(headers, header::timeLeftMicros, std::to_string(attempt.timeLeft_.micros()));
    add(headers, header::budget, std::to_string(attempt.budget_));
    add(headers, header::depth, std::to_string(attempt.depth_));
    if (attempt.maxWait_)
        add(headers, header::maxWaitMs, std::to_string(attempt.maxWait_->count()));
    if (attempt.repeat_ != retry::RepeatKind::First)
        add(headers, header::repeat, std::to_string(static_cast<int>(attempt.repeat_)));
    if (attempt.completedCalls_ > 0)
        add(headers, header::completedCalls, std::to_string(attempt.completedCalls_));
    if (attempt.subKey_) {
        add(headers, header::subKey, attempt.subKey_->text());
        add(headers, header::settledBelow, std::to_string(attempt.settledBelow_));
    }
    return request;
}

base::Result<Attempt> decodeAttempt(net::HttpRequest request)
{
    Attempt attempt;
    const auto &headers = request.headers_;
    const auto kind = headerValue(headers, header::kind);
    const auto parsed = parseKind(kind);
    if (!parsed)
        return base::fail("bad-attempt", header::kind + " must be run, ask or recall");
    attempt.kind_ = *parsed;
    attempt.service_ = headerValue(headers, header::service);
    attempt.requestClass_ = headerValue(headers, header::requestClass);
    attempt.customer_ = headerValue(headers, header::peerCustomer);
    attempt.priority_ = admission::Priority::unpack(
            static_cast<int>(numberUpTo(headers, header::priority, INT32_MAX, INT32_MAX)));
    attempt.timeLeft_ = base::Millis::fromMicros(static_cast<std::int64_t>(
            numberUpTo(headers, header::timeLeftMicros, maxTimeLeftMicros)));
    attempt.budget_ = static_cast<std::uint32_t>(numberUpTo(headers, header::budget, maxBudget));
    attempt.depth_ = static_cast<std::uint32_t>(numberUpTo(headers, header::depth, maxDepth));
    if (!headerValue(headers, header::maxWaitMs).empty())
        attempt.maxWait_ = base::Millis(
                static_cast<std::int64_t>(numberUpTo(headers, header::maxWaitMs, maxWaitMsLimit)));
    attempt.repeat_ = static_cast<retry::RepeatKind>(numberUpTo(
            headers, header::repeat, static_cast<std::uint64_t>(retry::RepeatKind::OfRepeatedRun)));
    attempt.completedCalls_ = static_cast<std::uint32_t>(
            numberUpTo(headers, header::completedCalls, maxCompletedCalls));
    if (const auto text = headerValue(headers, header::subKey); !text.empty()) {
        auto subKey = once::SubKey::parse(text);
        if (!subKey)
            return base::fail("bad-attempt", header::subKey + ": " + subKey.error().message_);
        attempt.subKey_ = std::move(*subKey);
        attempt.settledBelow_ = numberOr(headerValue(headers, header::settledBelow), 0);
    }
    if (attempt.kind_ != AttemptKind::Run && !attempt.subKey_)
        return base::fail("bad-attempt", "an outcome query or recall requires " + header::subKey);
    request.headers_ = withoutPeerFields(std::move(request.headers_));
    attempt.request_ = std::move(request);
    return attempt;
}

net::HttpResponse encodeAnswer(const AttemptAnswer &answer)
{
    net::HttpResponse response;
    std::visit([&response](const auto &outcome) { addOutcome(response, outcome); },
               answer.outcome_);
    add(response.headers_, header::level, answer.levels_.toString());
    add(response.headers_, header::budget, std::to_string(answer.budgetLeft_));
    add(response.headers_, header::queueingMicros, std::to_string(answer.queueing_.micros()));
    if (answer.completedCalls_ > 0)
        add(response.headers_, header::completedCalls, std::to_string(answer.completedCalls_));
    if (answer.load_)
        add(response.headers_, header::load, answer.load_->toString());
    if (answer.isReplaced_)
        add(response.headers_, header::flags, std::string(flagReplaced));
    else if (answer.isDraining_)
        add(response.headers_, header::flags, std::string(flagLeaving));
    return response;
}

base::Result<AttemptAnswer> decodeAnswer(net::HttpResponse response)
{
    AttemptAnswer answer;
    const auto &headers = response.headers_;
    const auto flags = headerValue(headers, header::flags);
    answer.isDraining_ = flags == flagLeaving;
    answer.isReplaced_ = flags == flagReplaced;
    answer.levels_ = admission::AnswerLevels::parse(headerValue(headers, header::level));
    answer.load_ = balance::LoadReport::parse(headerValue(headers, header::load));
    answer.budgetLeft_ = static_cast<std::uint32_t>(numberUpTo(headers, header::budget, maxBudget));
    answer.completedCalls_ = static_cast<std::uint32_t>(
            numberUpTo(headers, header::completedCalls, maxCompletedCalls));
    answer.queueing_ = base::Millis::fromMicros(static_cast<std::int64_t>(
            numberUpTo(headers, header::queueingMicros, maxTimeLeftMicros)));
    const auto kind = headerValue(headers, header::kind);
    const auto reason = once::parseReason(headerValue(headers, header::peerReason));
    if (kind == outcomeComplete) {
        answer.outcome_ = completeOf(std::move(response));
    } else if (kind == outcomeNotRun) {
        const auto wait = numberUpTo(headers, header::retryAfterMs, maxRetryAfterMs);
        answer.outcome_ = once::NotRun{reason, base::Millis(static_cast<std::int64_t>(wait))};
    } else if (kind == outcomeUnknown) {
        answer.outcome_ = once::Unknown{reason};
    } else {
        return base::fail("bad-answer", header::kind + " is not a known outcome");
    }
    return answer;
}

} // namespace dock
