#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <model/Member.h>

namespace dock::details {

/**
 * Ids of the daemons that should allot the allowances of a group, best first, at most eight: by
 * rendezvous hash over all members, those that leave last. Run time is linear in the members.
 */
std::vector<std::string> allotterCandidates(std::uint32_t group,
                                            const std::vector<model::Member> &members);

} // namespace dock::details
