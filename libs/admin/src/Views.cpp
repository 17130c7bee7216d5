#include "Views.h"

#include <algorithm>
#include <array>
#include <map>

namespace admin {

using nlohmann::json;

namespace {

const char *servingName(model::ServingState state)
{
    static constexpr std::array<const char *, 3> names{"absent", "ready", "draining"};
    return names.at(static_cast<std::size_t>(state));
}

json classView(const model::RequestClass &c)
{
    json view{{"name", c.name_},
              {"service", c.service_},
              {"method", c.method_},
              {"path", c.pathPrefix_},
              {"rank", c.rank_},
              {"idempotent", c.idempotent_},
              {"deadlineMs", c.deadline_.count()}};
    if (c.isPublic_)
        view["public"] = true;
    return view;
}

/** Of each key only the beginning of its digest, which tells the keys of a customer apart. */
json customerView(const model::Customer &c)
{
    constexpr std::size_t digitsShown = 12;
    json view{{"name", c.name_}, {"share", c.share_}, {"limit", c.maxConcurrent_}};
    if (c.rank_)
        view["rank"] = *c.rank_;
    for (const auto &key : c.keys_)
        view["keys"].push_back(key.text().substr(0, digitsShown));
    if (c.allowance_) {
        view["rate"] = c.allowance_->ratePerSecond_;
        view["burst"] = c.allowance_->burst_;
    }
    return view;
}

json configView(const model::Config &config)
{
    json view{{"services", json::array()},
              {"classes", json::array()},
              {"customers", json::array()},
              {"retries", json::array()}};
    for (const auto &[name, service] : config.services_)
        view["services"].push_back(name);
    for (const auto &[name, c] : config.classes_)
        view["classes"].push_back(classView(c));
    for (const auto &[name, c] : config.customers_)
        view["customers"].push_back(customerView(c));
    for (const auto &[name, r] : config.retryTolerances_)
        view["retries"].push_back(
                json{{"class", name}, {"budget", r.budget_}, {"ratio", r.ratio_}});
    return view;
}

} // namespace

json errorView(const char *code, const std::string &message)
{
    return json{{"error", code}, {"message", message}};
}

json faultsView(const std::vector<note::Fault> &faults)
{
    auto view = errorView("bad-note", "the note has faults; nothing was published");
    for (const auto &fault : faults)
        view["faults"].push_back(
                json{{"line", fault.line_}, {"field", fault.field_}, {"message", fault.message_}});
    return view;
}

json outcomeView(const std::string &id, const note::Outcome &outcome)
{
    json view{{"id", id},
              {"outcome", outcome.accepted_ ? "accepted" : "rejected"},
              {"revision", outcome.revision_},
              {"offset", outcome.offset_}};
    if (!outcome.accepted_)
        view["reason"] = outcome.reason_;
    return view;
}

json inForceView(model::Revision revision, const std::vector<model::Member> &members,
                 const std::vector<RevisionCount> &counts)
{
    struct DataCentre
    {
        std::uint32_t daemons_ = 0;
        std::uint32_t inForce_ = 0;
    };
    std::map<std::string, DataCentre> dataCentres;
    for (const auto &member : members)
        ++dataCentres[member.dataCentre_].daemons_;
    for (const auto &count : counts) {
        if (count.revision_ >= revision)
            dataCentres[count.dataCentre_].inForce_ += count.daemons_;
    }
    auto view = json::array();
    for (const auto &[name, dataCentre] : dataCentres)
        view.push_back(json{{"dataCentre", name},
                            {"daemonsInForce", dataCentre.inForce_},
                            {"daemons", dataCentre.daemons_}});
    return view;
}

json notesView(const note::State &state)
{
    std::vector<std::pair<std::string, note::Outcome>> byOffset(state.outcomes_.begin(),
                                                                state.outcomes_.end());
    std::sort(byOffset.begin(), byOffset.end(),
              [](const auto &a, const auto &b) { return a.second.offset_ < b.second.offset_; });
    json view{{"revision", state.revision_},
              {"notes", json::array()},
              {"config", configView(note::configOf(state))}};
    for (const auto &[id, outcome] : byOffset)
        view["notes"].push_back(outcomeView(id, outcome));
    return view;
}

json membersView(const std::vector<model::Member> &members)
{
    auto view = json::array();
    for (const auto &m : members)
        view.push_back(json{{"id", m.id_},
                            {"region", m.region_},
                            {"dataCentre", m.dataCentre_},
                            {"peerAddress", m.peerAddress_.text()},
                            {"controlAddress", m.controlAddress_.text()},
                            {"service", m.service_},
                            {"slots", m.slots_},
                            {"serving", servingName(m.serving_)},
                            {"revision", m.revision_}});
    return json{{"members", std::move(view)}};
}

json syncView(const notesync::SyncStatus &status)
{
    return json{{"hasConfig", status.hasConfig_},
                {"revision", status.revision_},
                {"digest", status.digest_},
                {"logOffset", status.logOffset_},
                {"complete", status.isComplete_},
                {"readsLog", status.isReader_},
                {"malformedRecords", status.malformedRecords_},
                {"snapshotsAppended", status.snapshotsAppended_},
                {"logError", status.logError_}};
}

} // namespace admin
