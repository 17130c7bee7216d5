#pragma once

#include <cstdint>
#include <tuple>

#include <base/Millis.h>
#include <membership/Status.h>
#include <model/Member.h>

namespace membership {

/**
 * One belief about one member, as it travels between daemons.
 *
 * Records of one member are totally ordered by version(), and the highest one holds, so that the
 * order in which they arrive does not matter. Dead and Left records travel with the identifier,
 * generation and data centre only.
 */
struct Record
{
    model::Member member_;
    std::uint64_t incarnation_ = 0; ///< raised by the member alone, for each change or refutation
    Status status_ = Status::Alive;
    base::Millis age_; ///< for Dead and Left: time since it was declared

    bool isLive() const { return status_ == Status::Alive || status_ == Status::Suspect; }

    /** Higher holds; Left outranks every incarnation of its generation. */
    std::tuple<std::uint64_t, bool, std::uint64_t, Status> version() const
    {
        return {member_.generation_, status_ == Status::Left, incarnation_, status_};
    }

    bool operator==(const Record &) const = default;
};

} // namespace membership
