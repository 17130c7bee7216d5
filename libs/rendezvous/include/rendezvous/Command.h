#pragma once

#include <string>
#include <variant>
#include <vector>

#include <model/Address.h>

namespace rendezvous {

/** Reads the newest records of the stream; at most one read is outstanding. */
struct ReadTail
{
    bool operator==(const ReadTail &) const = default;
};

/** Appends a record; the result is ignored. */
struct Append
{
    std::string data_;

    bool operator==(const Append &) const = default;
};

/** Adds control addresses of other daemons as seeds of the membership. */
struct AddSeeds
{
    std::vector<model::Address> addresses_;

    bool operator==(const AddSeeds &) const = default;
};

/** Output of a Core, carried out by its caller. */
using Command = std::variant<ReadTail, Append, AddSeeds>;

} // namespace rendezvous
