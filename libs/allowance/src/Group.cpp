#include <allowance/Group.h>

#include <base/Hash.h>

namespace allowance {

std::uint32_t groupOf(std::string_view customer)
{
    return static_cast<std::uint32_t>(base::hash64(customer) % groupCount);
}

} // namespace allowance
