#include <admission/Level.h>

#include <algorithm>

namespace admission {

Level Level::of(const Priority &priority)
{
    return {priority.rank_ * Priority::bucketCount + priority.bucket_};
}

Level Level::fromNumber(long number)
{
    return {static_cast<int>(std::clamp<long>(number, none().value_, highest))};
}

Level Level::wholeRank() const
{
    if (value_ < 0)
        return *this;
    const int rank = value_ / Priority::bucketCount;
    return {(rank + 1) * Priority::bucketCount - 1};
}

bool Level::admits(const Priority &priority) const
{
    if (value_ < 0)
        return false;
    if (priority.inProgress_)
        return priority.rank_ <= value_ / Priority::bucketCount;
    return covers(priority);
}

} // namespace admission
