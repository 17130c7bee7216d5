#include <dock/StatusReport.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include <metrics/Prometheus.h>
#include <nlohmann/json.hpp>

namespace dock {

namespace {

using nlohmann::json;

const char *servingText(model::ServingState state)
{
    switch (state) {
    case model::ServingState::Ready:
        return "ready";
    case model::ServingState::Draining:
        return "draining";
    case model::ServingState::Absent:
        break;
    }
    return "absent";
}

json membersView(const std::vector<model::Member> &members)
{
    std::map<std::string, std::map<std::string, int>> instances;
    std::map<std::string, int> daemons;
    for (const auto &member : members) {
        ++daemons[member.dataCentre_];
        if (member.serving_ == model::ServingState::Ready)
            ++instances[member.dataCentre_][member.service_];
    }
    json view = json::object();
    for (const auto &[dataCentre, count] : daemons)
        view[dataCentre] = {{"daemons", count}, {"readyInstances", instances[dataCentre]}};
    return view;
}

json revisionsView(const std::vector<membership::RevisionSummary> &summaries)
{
    json view = json::object();
    for (const auto &summary : summaries) {
        json counts = json::array();
        for (const auto &[revision, daemons] : summary.counts_)
            counts.push_back({{"revision", revision}, {"daemons", daemons}});
        view[summary.dataCentre_] = counts;
    }
    return view;
}

json distributionView(const metrics::Distribution &distribution)
{
    return {{"count", distribution.count_},
            {"sumMs", distribution.sumMillis_},
            {"maxMs", distribution.maxMillis_},
            {"p50Ms", distribution.quantileMillis_[0]},
            {"p90Ms", distribution.quantileMillis_[1]},
            {"p99Ms", distribution.quantileMillis_[2]},
            {"buckets", distribution.buckets_}};
}

json customersView(const std::vector<metrics::CustomerUsage> &customers)
{
    json view = json::array();
    for (const auto &usage : customers)
        view.push_back({{"customer", usage.customer_},
                        {"complete", usage.completeCount_},
                        {"sent", usage.sentCount_},
                        {"requestsPerSecond", usage.requestsPerSecond_},
                        {"notComplete", usage.failures_}});
    return view;
}

/** Customers by the number of their requests that were refused, most first. */
json allowancesView(const AllowanceStatus &status)
{
    constexpr std::size_t maxCustomers = 50;
    auto usage = status.usage_;
    std::sort(usage.begin(), usage.end(), [](const allowance::Usage &a, const allowance::Usage &b) {
        return std::tie(b.refused_, b.demand_) < std::tie(a.refused_, a.demand_);
    });
    usage.resize(std::min(usage.size(), maxCustomers));
    json customers = json::array();
    for (const auto &one : usage)
        customers.push_back({{"customer", one.customer_},
                             {"demand", one.demand_},
                             {"tokens", one.level_},
                             {"stock", one.stock_},
                             {"reserveRate", one.reserveRate_},
                             {"admitted", one.admitted_},
                             {"refused", one.refused_},
                             {"overAllowance", one.isDry_}});
    return {{"allotterOfGroups", status.groups_},
            {"asks", status.counts_.asks_},
            {"failedAsks", status.counts_.failedAsks_},
            {"customersInUse", customers}};
}

/** Rank with the lowest priority of which some requests are admitted; -1 if none are. */
int lowestAdmittedRank(const admission::Level &level)
{
    return level.value_ < 0 ? -1 : level.value_ / admission::Priority::bucketCount;
}

json loadView(const LoadViewStatus &status)
{
    json view = json::object();
    for (const auto &[service, instances] : status.instances_) {
        for (const auto &instance : instances) {
            json entry = {{"dataCentre", instance.dataCentre_},
                          {"ownCalls", instance.inFlight_},
                          {"ejected", instance.isEjected_}};
            if (instance.load_) {
                entry["active"] = std::round(instance.load_->active_);
                entry["limit"] = instance.load_->limit_;
                entry["slotTimeMs"] = instance.load_->holding_.fractional();
                entry["reportAgeMs"] = instance.load_->age_.count();
            }
            view[service][instance.id_] = std::move(entry);
        }
    }
    return view;
}

/** Share of the calls of each service that waited while another instance was expected free. */
json unevennessView(const routing::LoadCounters &counters)
{
    json view = json::object();
    for (const auto &[service, counts] : counters.waits_)
        view[service] = {{"calls", counts.calls_},
                         {"waited", counts.waited_},
                         {"waitedWhileOthersFree", counts.uneven_},
                         {"unevenness", static_cast<double>(counts.uneven_)
                                                / static_cast<double>(counts.calls_)}};
    return view;
}

metrics::Value gauge(const char *name, const char *help, double value)
{
    return {.name_ = name, .help_ = help, .kind_ = metrics::ValueKind::Gauge, .value_ = value};
}

metrics::Value counter(const char *name, const char *help, double value)
{
    return {.name_ = name, .help_ = help, .kind_ = metrics::ValueKind::Counter, .value_ = value};
}

void addLoadCounters(const routing::LoadCounters &counters, std::vector<metrics::Value> &values)
{
    constexpr double millisPerSecond = 1000.0;
    values.push_back(counter("choices_total", "selections of an instance",
                             static_cast<double>(counters.choices_)));
    values.push_back(counter("choices_with_report_total",
                             "selections of an instance that had reported its load",
                             static_cast<double>(counters.choicesWithReport_)));
    values.push_back(counter("load_report_age_seconds_total",
                             "age of the reports of selected instances, added up",
                             counters.reportAges_.fractional() / millisPerSecond));
    values.push_back(counter("handed_back_total", "calls that an instance handed back unsent",
                             static_cast<double>(counters.handedBack_)));
    const auto addOfService = [&values](const std::string &service, const char *name,
                                        const char *help, std::uint64_t count) {
        values.push_back(counter(name, help, static_cast<double>(count)));
        values.back().labels_ = {{"service", service}};
    };
    for (const auto &[service, counts] : counters.waits_)
        addOfService(service, "placed_calls_total", "calls that an instance answered",
                     counts.calls_);
    for (const auto &[service, counts] : counters.waits_)
        addOfService(service, "waits_total", "calls that waited for a slot or were shed",
                     counts.waited_);
    for (const auto &[service, counts] : counters.waits_)
        addOfService(
                service, "uneven_waits_total",
                "calls that waited or were shed while another instance was expected to be free",
                counts.uneven_);
}

} // namespace

std::string StatusReport::json() const
{
    nlohmann::json view = {
            {"id", id_},
            {"dataCentre", dataCentre_},
            {"draining", isDraining_},
            {"isolated", isIsolated_},
            {"unreachableDataCentres", unreachableDataCentres_},
            {"dataCentres", membersView(members_)},
            {"revisionsInForce", revisionsView(revisions_)},
            {"instance",
             {{"service", dataStatus_.backend_.service_},
              {"state", servingText(dataStatus_.backend_.serving_)},
              {"slots", dataStatus_.backend_.slots_},
              {"concurrencyLimit", dataStatus_.concurrencyLimit_},
              {"running", dataStatus_.activeRequests_},
              {"admitsUpToRank", lowestAdmittedRank(dataStatus_.level_)},
              {"admitsAll", dataStatus_.level_ == admission::Level::all()}}},
            {"openRequests", dataStatus_.openRequests_},
            {"notComplete", dataStatus_.failures_},
    };
    if (dataStatus_.metrics_ != nullptr && !dataStatus_.metrics_->customers_.empty())
        view["customers"] = customersView(dataStatus_.metrics_->customers_);
    if (dataStatus_.allowances_)
        view["allowances"] = allowancesView(*dataStatus_.allowances_);
    if (dataStatus_.loadView_) {
        view["load"] = loadView(*dataStatus_.loadView_);
        view["unevenness"] = unevennessView(dataStatus_.loadView_->counters_);
    }
    return view.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string StatusReport::histogramsJson() const
{
    nlohmann::json view = nlohmann::json::array();
    if (dataStatus_.metrics_ == nullptr)
        return view.dump();
    for (const auto &series : dataStatus_.metrics_->series_)
        view.push_back({{"customer", series.customer_},
                        {"class", series.requestClass_},
                        {"complete", series.outcomes_[0]},
                        {"notRun", series.outcomes_[1]},
                        {"unknown", series.outcomes_[2]},
                        {"attempts", series.attempts_},
                        {"latency", distributionView(series.latency_)},
                        {"queueing", distributionView(series.queueing_)}});
    return view.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

std::string StatusReport::prometheus() const
{
    metrics::Snapshot snapshot;
    if (dataStatus_.metrics_ != nullptr)
        snapshot = *dataStatus_.metrics_;
    auto &values = snapshot.values_;
    values.push_back(gauge("members", "daemons known", static_cast<double>(members_.size())));
    values.push_back(
            gauge("revision", "configuration revision in force", static_cast<double>(revision_)));
    values.push_back(gauge("concurrency_limit", "requests that may run at once",
                           dataStatus_.concurrencyLimit_));
    values.push_back(gauge("level", "worst priority that is admitted", dataStatus_.level_.value_));
    values.push_back(gauge("repeat_level", "worst priority whose refused calls are all repeated",
                           dataStatus_.repeats_.coveredLevel_.value_));
    values.push_back(counter("repeats_granted_total", "repeats sent to the backend server",
                             static_cast<double>(dataStatus_.repeats_.granted_)));
    values.push_back(counter("repeats_refused_total", "repeats refused to keep the ratio",
                             static_cast<double>(dataStatus_.repeats_.refused_)));
    values.push_back(gauge("running", "requests running or queued at the backend server",
                           static_cast<double>(dataStatus_.activeRequests_)));
    values.push_back(gauge("open_requests", "requests of callers without an answer yet",
                           static_cast<double>(dataStatus_.openRequests_)));
    values.push_back(counter("gossip_sent_bytes_total", "membership bytes sent",
                             static_cast<double>(gossip_.bytesSent_)));
    values.push_back(counter("gossip_received_bytes_total", "membership bytes received",
                             static_cast<double>(gossip_.bytesReceived_)));
    values.push_back(gauge("message_bytes", "bytes of all messages held",
                           static_cast<double>(dataStatus_.messageMemory_.heldBytes_)));
    values.push_back(gauge("message_bytes_limit", "bytes that all messages may take",
                           static_cast<double>(dataStatus_.messageMemory_.limitBytes_)));
    values.push_back(counter("messages_without_room_total",
                             "requests refused and answers broken off for want of memory",
                             static_cast<double>(dataStatus_.messageMemory_.refusedCount_)));
    const auto addCounters = [&values](const std::map<std::string, std::uint64_t> &counts,
                                       const char *name, const char *help, const char *label) {
        for (const auto &[labelValue, count] : counts) {
            auto value = counter(name, help, static_cast<double>(count));
            value.labels_ = {{label, labelValue}};
            values.push_back(std::move(value));
        }
    };
    addCounters(dataStatus_.failures_, "not_complete_total", "calls not run or unknown, by reason",
                "reason");
    addCounters(dataStatus_.redelegations_, "delegated_again_total",
                "further delegations of requests that must run once, by what allowed them",
                "allowed_by");
    addCounters(dataStatus_.backendFailures_, "backend_failures_total",
                "calls that the backend server refused or whose answer was lost", "outcome");
    if (dataStatus_.allowances_) {
        const auto &counts = dataStatus_.allowances_->counts_;
        const auto add = [&values](const char *name, const char *help, std::uint64_t value) {
            values.push_back(counter(name, help, static_cast<double>(value)));
        };
        add("allowance_admitted_total", "requests admitted by allowances", counts.admitted_);
        add("allowance_held_total", "requests that waited for a token", counts.held_);
        add("allowance_asks_total", "asks sent to allotters", counts.asks_);
        add("allowance_failed_asks_total", "asks that no allotter answered", counts.failedAsks_);
        addCounters({{"spent", counts.refusedSpent_}, {"unknown", counts.refusedUnknown_}},
                    "allowance_refused_total", "requests refused by allowances", "reason");
        values.push_back(gauge("allotter_groups", "groups that this daemon allots",
                               static_cast<double>(dataStatus_.allowances_->groups_.size())));
    }
    if (dataStatus_.loadView_)
        addLoadCounters(dataStatus_.loadView_->counters_, values);
    return renderPrometheus(snapshot);
}

} // namespace dock
