#include <identity/Limits.h>

namespace identity {

namespace {

constexpr std::int64_t marginDivisor = 10;

} // namespace

Limits Limits::of(base::Millis revocationTime, base::Millis unknownAge)
{
    const bool isBounded = revocationTime > base::Millis();
    return {.keyedAge_ = isBounded ? revocationTime - revocationTime / marginDivisor
                                   : base::Millis::max(),
            .unknownAge_ = unknownAge};
}

} // namespace identity
