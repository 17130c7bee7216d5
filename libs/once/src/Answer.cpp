#include <once/Answer.h>

namespace once {

std::size_t Answer::bytes() const
{
    std::size_t total = sizeof(Answer) + body_.capacity();
    for (const auto &[name, value] : headers_)
        total += sizeof(headers_[0]) + name.size() + value.size();
    return total;
}

} // namespace once
