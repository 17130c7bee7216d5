#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <model/Member.h>

namespace model {

/**
 * Whether a daemon is among the `count` daemons of its data centre that are elected for a role.
 * Uses rendezvous hashing over the known members, so while the membership views of daemons differ,
 * more or fewer than `count` daemons may be elected. A daemon without other members in its data
 * centre is always elected.
 */
bool isElectedFor(std::string_view role, const std::vector<Member> &members,
                  const std::string &selfId, const std::string &dataCentre, std::size_t count);

/**
 * The members of a data centre that rank before a daemon for a role, best first: by rendezvous
 * weight, then by id.
 */
std::vector<const Member *> higherRanked(std::string_view role, const std::vector<Member> &members,
                                         const std::string &selfId, const std::string &dataCentre);

} // namespace model
