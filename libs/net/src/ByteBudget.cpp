#include <net/ByteBudget.h>

namespace net {

bool ByteBudget::mayGrow(std::size_t size, std::size_t more)
{
    const auto free = limit_ - (held_ < limit_ ? held_ : limit_);
    const bool fits = more <= free && size + more <= free - more;
    if (!fits)
        ++refused_;
    return fits;
}

} // namespace net
