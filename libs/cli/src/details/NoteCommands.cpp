#include "details/Commands.h"

#include <algorithm>

#include "details/Answer.h"
#include "details/CommandLine.h"
#include "details/Print.h"
#include <base/Clock.h>
#include <cli/ExitCode.h>
#include <note/Parse.h>

namespace cli::details {

namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr base::Millis retryInterval(1000);

constexpr CommandSpec checkSpec{
        "note check", "FILE", "Checks a release note without publishing it.",
        "Every fault is written with file, line and field. A note looks like this:\n\n"
        "  id: prize-day-1          # your name for it, used once\n"
        "  base: 4                  # revision shown by `fuchsiadock note list`\n"
        "  added:\n"
        "    services: [redeem]\n"
        "    classes:\n"
        "      - name: redemption\n"
        "        service: redeem\n"
        "        match: {method: POST, path: /redemptions}\n"
        "        rank: 0            # 0 matters most, 9 is shed first\n"
        "        idempotent: false  # never run twice\n"
        "        deadline: 2000ms\n"
        "  withdrawn:\n"
        "    customers: [school-1]\n",
        false};

constexpr CommandSpec publishSpec{
        "note publish",
        "FILE",
        "Publishes a release note and waits until it is accepted or rejected.",
        "Publishing the same file again is safe: a note takes effect once. Exit code 4 means that\n"
        "the outcome is not known yet; run the command again.\n",
        true,
        true};

constexpr CommandSpec statusSpec{
        "note status", "ID", "Shows the outcome of a release note.",
        "For an accepted note: its revision, and in which data centres and at how many daemons it\n"
        "is in force.\n",
        true};

constexpr CommandSpec listSpec{"note list", "", "Lists the newest release notes.",
                               "The first line is the revision in force, which the next note "
                               "names as its base.\n",
                               true};

void printFaults(const Context &context, const std::string &file, const json &body)
{
    for (const auto &fault : objectsIn(body, "faults"))
        context.err_ << file << ":" << fieldText(fault, "line") << ": " << fieldText(fault, "field")
                     << ": " << fieldText(fault, "message") << "\n";
}

/** Whether repeating the request may still give the outcome. */
bool isRetryable(const net::CallResult &result)
{
    if (!result)
        return result.error().kind_ != net::FailureKind::NotSent;
    return result->status_ == statusUnavailable || result->status_ == statusTimeout;
}

net::CallResult publishWithRetries(AdminConnection &connection, const std::string &text,
                                   base::Millis timeout)
{
    const auto end = base::monotonicNow() + timeout;
    auto result = connection.call("POST", "/v1/notes", text);
    while (isRetryable(result) && base::monotonicNow() < end) {
        connection.wait(retryInterval);
        auto next = connection.call("POST", "/v1/notes", text);
        // A daemon that has stopped in the meantime leaves the earlier request's outcome unknown.
        if (!next && next.error().kind_ == net::FailureKind::NotSent)
            continue;
        result = std::move(next);
    }
    return result;
}

int reportPublished(const Context &context, const std::string &file, const std::string &daemon,
                    const net::CallResult &result)
{
    const auto body = result ? parseBody(*result) : json::object();
    if (result && result->status_ == statusOk) {
        context.out_ << "accepted: note \"" << fieldText(body, "id") << "\" is revision "
                     << fieldText(body, "revision") << "\n";
        return Ok;
    }
    if (result && result->status_ == statusConflict) {
        context.err_ << "rejected: note \"" << fieldText(body, "id")
                     << "\": " << fieldText(body, "reason") << "\n";
        return Refused;
    }
    if (body.contains("faults")) {
        printFaults(context, file, body);
        return Refused;
    }
    const bool isOutcomeUnknown = result ? result->status_ == statusTimeout
                                         : result.error().kind_ != net::FailureKind::NotSent;
    if (!isOutcomeUnknown)
        return reportFailure(context, daemon, result);
    reportFailure(context, daemon, result);
    context.err_
            << "outcome unknown: the note may have been published; run the same command again\n";
    return OutcomeUnknown;
}

int runCheck(const Context &context, const CommandLine &line)
{
    const auto &file = line.positional_.front();
    const auto text = readFile(file);
    if (!text)
        return reportUsage(context, checkSpec, text.error());
    const auto parsed = note::parseNote(*text, file);
    if (!parsed) {
        for (const auto &fault : parsed.error())
            context.err_ << fault.text() << "\n";
        return Refused;
    }
    context.out_ << file << ": note \"" << parsed->id_ << "\" is well formed, "
                 << parsed->changes_.size() << " changes against revision " << parsed->base_
                 << "\n";
    return Ok;
}

int runPublish(const Context &context, const CommandLine &line)
{
    const auto &file = line.positional_.front();
    const auto text = readFile(file);
    if (!text)
        return reportUsage(context, publishSpec, text.error());
    if (const auto checked = runCheck(
                {context.arguments_, context.hooks_, context.in_, context.err_, context.err_},
                line);
        checked != Ok)
        return checked;
    const auto target = readAdminTarget(line);
    if (!target)
        return reportUsage(context, publishSpec, target.error());
    AdminConnection connection(target->address_, target->token_);
    constexpr std::int64_t millisPerSecond = 1000;
    const base::Millis timeout(line.timeoutSeconds_ * millisPerSecond);
    const auto result = publishWithRetries(connection, *text, timeout);
    return reportPublished(context, file, line.admin_, result);
}

int runStatus(const Context &context, const CommandLine &line)
{
    const auto target = readAdminTarget(line);
    if (!target)
        return reportUsage(context, statusSpec, target.error());
    AdminConnection connection(target->address_, target->token_);
    const auto result = connection.call("GET", "/v1/notes/" + line.positional_.front());
    if (!result || result->status_ != statusOk) {
        const auto code = reportFailure(context, line.admin_, result);
        return result && result->status_ == statusNotFound ? NoSuchNote : code;
    }
    const auto body = parseBody(*result);
    context.out_ << "note \"" << fieldText(body, "id") << "\": " << fieldText(body, "outcome")
                 << ", revision " << fieldText(body, "revision") << "\n";
    if (const auto reason = fieldText(body, "reason"); !reason.empty())
        context.out_ << "reason: " << reason << "\n";
    std::vector<std::vector<std::string>> rows{{"DATA CENTRE", "IN FORCE AT", "OF DAEMONS"}};
    for (const auto &entry : objectsIn(body, "inForce"))
        rows.push_back({fieldText(entry, "dataCentre"), fieldText(entry, "daemonsInForce"),
                        fieldText(entry, "daemons")});
    if (rows.size() > 1)
        printTable(context.out_, rows);
    return Ok;
}

int runList(const Context &context, const CommandLine &line)
{
    const auto target = readAdminTarget(line);
    if (!target)
        return reportUsage(context, listSpec, target.error());
    AdminConnection connection(target->address_, target->token_);
    const auto result = connection.call("GET", "/v1/notes");
    if (!result || result->status_ != statusOk)
        return reportFailure(context, line.admin_, result);
    const auto body = parseBody(*result);
    context.out_ << "revision in force: " << fieldText(body, "revision") << "\n";
    std::vector<std::vector<std::string>> rows{{"NOTE", "OUTCOME", "REVISION", "REASON"}};
    for (const auto &entry : objectsIn(body, "notes"))
        rows.push_back({fieldText(entry, "id"), fieldText(entry, "outcome"),
                        fieldText(entry, "revision"), fieldText(entry, "reason")});
    if (rows.size() > 1)
        printTable(context.out_, rows);
    return Ok;
}

} // namespace

int noteCheck(const Context &context)
{
    return runCommand(context, checkSpec, runCheck);
}

int notePublish(const Context &context)
{
    return runCommand(context, publishSpec, runPublish);
}

int noteStatus(const Context &context)
{
    return runCommand(context, statusSpec, runStatus);
}

int noteList(const Context &context)
{
    return runCommand(context, listSpec, runList);
}

} // namespace cli::details
