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

/** Error response with a stable code and a one-line message. */
nlohmann::json errorView(const char *code, const std::string &message);

/** All faults of a note's text. */
nlohmann::json faultsView(const std::vector<note::Fault> &faults);

/** Outcome of a note. */
nlohmann::json outcomeView(const std::string &id, const note::Outcome &outcome);

/** For each data centre, the number of its daemons with the revision in force. */
nlohmann::json inForceView(model::Revision revision, const std::vector<model::Member> &members,
                           const std::vector<RevisionCount> &counts);

/** The revision, the configuration and the outcomes of the newest notes, oldest first. */
nlohmann::json notesView(const note::State &state);

nlohmann::json membersView(const std::vector<model::Member> &members);
nlohmann::json syncView(const notesync::SyncStatus &status);

} // namespace admin
