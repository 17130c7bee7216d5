#include <follow/Confirmation.h>

#include <sstream>

namespace follow {

std::string Confirmation::encode() const
{
    // Rounded up, so that evidence never seems newer than it is.
    const auto wholeMillis = age_.count() + (age_ > base::Millis(age_.count()) ? 1 : 0);
    return std::to_string(revision_) + ' ' + std::to_string(wholeMillis);
}

base::Result<Confirmation> Confirmation::parse(const std::string &text)
{
    std::istringstream stream(text);
    model::Revision revision = 0;
    std::int64_t age = -1;
    std::string rest;
    const bool isComplete = static_cast<bool>(stream >> revision >> age);
    if (!isComplete || age < 0 || age > base::Millis::max().count() || stream >> rest)
        return base::fail("bad-confirmation", "expected 'REVISION AGE_MS', got: " + text);
    return Confirmation{revision, base::Millis(age)};
}

} // namespace follow
