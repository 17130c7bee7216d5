#pragma once

#include <string>
#include <variant>
#include <vector>

#include <model/Address.h>

namespace rendezvous {

/** Read the newest records of the stream; at most one is outstanding. */
struct ReadTail
{
    bool operator==(const ReadTail &) const = default;
};

/** Append a record; it does not matter whether that succeeds. */
struct Append
{
    std::string data_;

    bool operator==(const Append &) const = default;
};

/** Addresses at which other daemons may be found. */
struct AddSeeds
{
    std::vector<model::Address> addresses_;

    bool operator==(const AddSeeds &) const = default;
};

/** What a Core wants done. */
using Command = std::variant<ReadTail, Append, AddSeeds>;

} // namespace rendezvous
