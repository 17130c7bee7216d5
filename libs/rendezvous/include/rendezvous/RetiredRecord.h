#pragma once

#include <string>
#include <string_view>

#include <base/Error.h>
#include <model/RetiredBackend.h>

namespace rendezvous {

/** Record of the rendezvous topic: the backend server that retired last beside a daemon. */
struct RetiredRecord
{
    /** The key of a daemon's record; the records of addresses have other keys. */
    static std::string keyOf(const std::string &daemonId);
    static bool isKey(std::string_view key);

    /** Parses the value of a record; fails with "bad-retired". */
    static base::Result<model::RetiredBackend> parse(std::string_view text);

    /** JSON text; the inverse of parse(). */
    static std::string text(const model::RetiredBackend &retired);
};

} // namespace rendezvous
