#pragma once

#include <cstdint>
#include <tuple>

#include <base/Millis.h>
#include <membership/Status.h>
#include <model/Member.h>

namespace membership {

/**
 * The state of one member, as exchanged between daemons.
 *
 * Records of one member are totally ordered by version() and the highest one wins, so that the
 * order of arrival does not matter. Dead and Left records (tombstones) are encoded with the
 * identifier, generation and data centre only.
 */
struct Record
{
    model::Member member_;
    std::uint64_t incarnation_ = 0; ///< raised only by the member, on a change or refutation
    Status status_ = Status::Alive;
    base::Millis age_; ///< for Dead and Left: time since it was declared

    bool isLive() const { return status_ == Status::Alive || status_ == Status::Suspect; }

    /** The higher version wins; Left outranks every incarnation of its generation. */
    std::tuple<std::uint64_t, bool, std::uint64_t, Status> version() const
    {
        return {member_.generation_, status_ == Status::Left, incarnation_, status_};
    }

    bool operator==(const Record &) const = default;
};

} // namespace membership
