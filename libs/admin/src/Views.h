#pragma once

#include <string>
#include <vector>

#include <admin/RevisionCount.h>
#include <model/Member.h>
#include <nlohmann/json.hpp>
#include <note/Fault.h>
#include <note/State.h>
#include <notesync/PublishResult.h>
#include <notesync/SyncStatus.h>

namespace admin {

// Each view is the JSON body, or a part of it, of an answer of the admin server.

/** Error response with a stable code and a one-line message. */
nlohmann::json errorView(const char *code, const std::string &message);

/** All faults of a note's text. */
nlohmann::json faultsView(const std::vector<note::Fault> &faults);

/** Outcome of a note. */
nlohmann::json outcomeView(const std::string &id, const note::Outcome &outcome);

/**
 * For each data centre, the number of its members and the number of its daemons whose newest
 * revision in force, according to counts, is the given revision or a later one.
 */
nlohmann::json inForceView(model::Revision revision, const std::vector<model::Member> &members,
                           const std::vector<RevisionCount> &counts);

/** The revision, the configuration and the outcomes of the newest notes, oldest first. */
nlohmann::json notesView(const note::State &state);

/** Identity, addresses, service, slots, serving state and revision of each member. */
nlohmann::json membersView(const std::vector<model::Member> &members);

/** Revision of this daemon, its position in the log of notes, and the error of its last read. */
nlohmann::json syncView(const notesync::SyncStatus &status);

} // namespace admin
