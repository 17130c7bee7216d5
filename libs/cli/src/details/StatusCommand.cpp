#include "details/Commands.h"

#include <algorithm>
#include <map>
#include <set>

#include "details/Answer.h"
#include "details/CommandLine.h"
#include "details/Print.h"
#include <cli/ExitCode.h>

namespace cli::details {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;

constexpr CommandSpec statusSpec{"status", "", "Shows the state of one daemon.",
                                 "The revision in force, the state of the log, the data centres "
                                 "with their daemons, and what\n"
                                 "the daemon admits and refuses.\n",
                                 true};

constexpr CommandSpec settingsSpec{"settings check", "FILE", "Checks a daemon's settings file.",
                                   "Every fault is written with file, line and field.\n", false};

/** Totals over the daemons of one service in one data centre. */
struct ServiceSummary
{
    int daemonCount_ = 0;
    int readyCount_ = 0;
    std::set<std::uint64_t> revisions_;
};

std::string revisionsText(const std::set<std::uint64_t> &revisions)
{
    if (revisions.empty())
        return "";
    const auto lowest = std::to_string(*revisions.begin());
    if (revisions.size() == 1)
        return lowest;
    return lowest + " to " + std::to_string(*revisions.rbegin());
}

void printMembers(const Context &context, const json &body)
{
    std::map<std::pair<std::string, std::string>, ServiceSummary> summaries;
    for (const auto &member : objectsIn(body, "members")) {
        auto &summary = summaries[{fieldText(member, "dataCentre"), fieldText(member, "service")}];
        ++summary.daemonCount_;
        summary.readyCount_ += fieldText(member, "serving") == "ready" ? 1 : 0;
        if (const auto it = member.find("revision"); it != member.end() && it->is_number_unsigned())
            summary.revisions_.insert(it->get<std::uint64_t>());
    }
    std::vector<std::vector<std::string>> rows{
            {"DATA CENTRE", "SERVICE", "DAEMONS", "READY", "REVISION"}};
    for (const auto &[key, summary] : summaries)
        rows.push_back({key.first, key.second.empty() ? "-" : key.second,
                        std::to_string(summary.daemonCount_), std::to_string(summary.readyCount_),
                        revisionsText(summary.revisions_)});
    printTable(context.out_, rows);
}

void printNotes(const Context &context, const json &notes)
{
    if (fieldText(notes, "hasConfig") == "true")
        context.out_ << "revision in force: " << fieldText(notes, "revision") << "\n";
    else
        context.out_ << "no configuration yet: every request is answered \"not-run\"\n";
    const auto error = fieldText(notes, "logError");
    context.out_ << "log: " << (error.empty() ? "no error" : error) << ", read up to offset "
                 << fieldText(notes, "logOffset") << "\n";
}

int runStatus(const Context &context, const CommandLine &line)
{
    const auto target = readAdminTarget(line);
    if (!target)
        return reportUsage(context, statusSpec, target.error());
    AdminConnection connection(target->address_, target->token_);
    const auto status = connection.call("GET", "/v1/status");
    if (!status || status->status_ != statusOk)
        return reportFailure(context, line.admin_, status);
    const auto members = connection.call("GET", "/v1/members");
    if (!members || members->status_ != statusOk)
        return reportFailure(context, line.admin_, members);
    const auto body = parseBody(*status);
    printNotes(context, body.value("notes", json::object()));
    printMembers(context, parseBody(*members));
    printTree(context.out_, body.value("daemon", json::object()), 0);
    return Ok;
}

int runSettingsCheck(const Context &context, const CommandLine &line)
{
    const auto &file = line.positional_.front();
    const auto faults = context.hooks_.checkSettings_(file);
    for (const auto &fault : faults)
        context.err_ << fault << "\n";
    if (faults.empty())
        context.out_ << file << ": the settings are well formed\n";
    return faults.empty() ? Ok : Refused;
}

} // namespace

int status(const Context &context)
{
    return runCommand(context, statusSpec, runStatus);
}

int settingsCheck(const Context &context)
{
    return runCommand(context, settingsSpec, runSettingsCheck);
}

} // namespace cli::details
