#pragma once

#include <string>
#include <string_view>

#include <base/Error.h>
#include <model/Address.h>

namespace rendezvous {

/** One record of the rendezvous stream or topic: the control address of a daemon. */
struct SeedRecord
{
    std::string id_;
    std::string dataCentre_;
    model::Address controlAddress_;

    /** Parses a record; fails with "bad-meeting". */
    static base::Result<SeedRecord> parse(std::string_view text);

    /** JSON text; the inverse of parse(). */
    std::string text() const;

    bool operator==(const SeedRecord &) const = default;
};

} // namespace rendezvous
