#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <model/Member.h>

namespace model {

/**
 * Whether a daemon is one of the `count` daemons of its data centre that have the duty. Chosen by
 * rendezvous hashing over the members known, so daemons with different views have it too many or
 * too few times for a while. A daemon that knows no other one of its data centre has it.
 */
bool hasDuty(std::string_view duty, const std::vector<Member> &members, const std::string &selfId,
             const std::string &dataCentre, std::size_t count);

} // namespace model
