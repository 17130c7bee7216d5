#include <retry/ContextTable.h>

namespace retry {

namespace {

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

} // namespace

ContextTable::ContextTable(std::string_view secret, std::size_t maxCalls)
    : mac_(secret)
    , maxCalls_(maxCalls)
{}

base::Result<std::string> ContextTable::open(RunningCall call)
{
    if (call.depth_ > maxDepth)
        return base::fail("too-deep", "the call chain is too deep");
    if (calls_.size() >= maxCalls_)
        return base::fail("too-many-calls", "too many calls are running");
    auto token = toHex(mac_.compute(std::to_string(nextTokenNumber_++)));
    calls_.emplace(token, std::move(call));
    return token;
}

const RunningCall *ContextTable::find(std::string_view token) const
{
    const auto found = calls_.find(std::string(token));
    return found == calls_.end() ? nullptr : &found->second;
}

ChainBudget *ContextTable::budget(std::string_view token)
{
    const auto found = calls_.find(std::string(token));
    return found == calls_.end() ? nullptr : &found->second.budget_;
}

void ContextTable::recordCallStarted(std::string_view token)
{
    if (const auto found = calls_.find(std::string(token)); found != calls_.end())
        found->second.hasMadeCalls_ = true;
}

void ContextTable::recordCompletedCalls(std::string_view token, std::uint32_t calls)
{
    if (const auto found = calls_.find(std::string(token)); found != calls_.end())
        found->second.completedCalls_ += calls;
}

std::uint32_t ContextTable::close(std::string_view token)
{
    const auto found = calls_.find(std::string(token));
    if (found == calls_.end())
        return 0;
    const auto remaining = found->second.budget_.remaining();
    calls_.erase(found);
    return remaining;
}

} // namespace retry
