#include <net/ByteBudget.h>

namespace net {

bool ByteBudget::mayGrow(std::size_t size, std::size_t more)
{
    const auto free = limitBytes_ - (reservedBytes_ < limitBytes_ ? reservedBytes_ : limitBytes_);
    const bool fits = more <= free && size + more <= free - more;
    if (!fits)
        ++refusalCount_;
    return fits;
}

} // namespace net
