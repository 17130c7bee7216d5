#include <admission/Priority.h>

#include <algorithm>

#include <base/Hash.h>

namespace admission {

namespace {
constexpr int valuesPerRank = 2 * Priority::bucketCount;
}

Priority Priority::ofRoot(int rank, std::string_view requestId)
{
    Priority result;
    result.rank_ = std::clamp(rank, 0, lowestRank);
    result.bucket_ = static_cast<int>(base::hash64(requestId) % bucketCount);
    return result;
}

Priority Priority::unpack(int packed)
{
    const int value = std::clamp(packed, 0, (lowestRank + 1) * valuesPerRank - 1);
    Priority result;
    result.rank_ = value / valuesPerRank;
    result.inProgress_ = value % valuesPerRank < bucketCount;
    result.bucket_ = value % bucketCount;
    return result;
}

Priority Priority::forChild() const
{
    Priority result = *this;
    result.inProgress_ = true;
    return result;
}

int Priority::packed() const
{
    return rank_ * valuesPerRank + (inProgress_ ? 0 : bucketCount) + bucket_;
}

std::strong_ordering Priority::operator<=>(const Priority &other) const
{
    return packed() <=> other.packed();
}

} // namespace admission
