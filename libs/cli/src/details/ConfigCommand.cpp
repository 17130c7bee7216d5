#include "details/Commands.h"

#include <algorithm>

#include "details/AdminConnection.h"
#include "details/Answer.h"
#include "details/CommandLine.h"
#include "details/ConfigFile.h"
#include <base/Overloaded.h>
#include <cli/ExitCode.h>
#include <configcheck/Check.h>
#include <configcheck/Compare.h>
#include <note/Record.h>

namespace cli::details {

namespace {

using configcheck::Difference;
using configcheck::Finding;
using configcheck::Severity;

constexpr int statusOk = 200;
constexpr std::size_t maxLines = 200;

constexpr CommandSpec checkSpec{
        .name_ = "config check",
        .positional_ = "FILE",
        .summary_ = "Checks a configuration before it is sent.",
        .details_ =
                "FILE is a release note, the state of all release notes (GET /v1/state), or a\n"
                "configuration of the users' platform. Prints errors with their places, entries "
                "that\n"
                "can never match, limits that contradict each other, and what differs from the\n"
                "configuration in force: a file of the same form, or that of a running daemon.\n"
                "A release note is judged by what it makes of that state.\n\n"
                "Exit code 0: may be sent; 6: may be sent, but has warnings or may refuse or fail\n"
                "callers that are served now; 1: has errors, don't send it.\n",
        .usesAdmin_ = true,
        .takesAgainst_ = true};

/** A configuration, the one in force if it is known, and findings about the step between. */
struct Proposal
{
    configcheck::Draft after_;
    std::optional<configcheck::Draft> before_;
    std::vector<Finding> findings_;
};

/** Text for one line of a terminal: names come from files as they are. */
std::string printable(std::string text)
{
    constexpr unsigned char del = 0x7f;
    std::ranges::replace_if(
            text, [](unsigned char c) { return c < ' ' || c == del; }, '?');
    return text;
}

/** Calls print(element) for the elements up to maxLines, and counts the others. */
template<typename Element, typename Function>
void printSome(std::ostream &out, const std::vector<Element> &elements, Function print)
{
    for (std::size_t i = 0; i < std::min(elements.size(), maxLines); ++i)
        out << printable(print(elements[i])) << "\n";
    if (elements.size() > maxLines)
        out << "and " << elements.size() - maxLines << " more\n";
}

std::string lineOf(const std::string &file, const Finding &finding)
{
    return file + ": " + (finding.severity_ == Severity::Error ? "error: " : "warning: ")
           + (finding.place_.empty() ? "" : finding.place_ + ": ") + finding.text_;
}

std::string lineOf(const Difference &difference)
{
    const auto &[kind, entry, field, before, after, mayRefuseCallers] = difference;
    auto line = entry + (field.empty() ? "" : ": " + field + " " + before);
    switch (kind) {
    case Difference::Kind::Added:
        line += after + ": added";
        break;
    case Difference::Kind::Changed:
        line += " -> " + after;
        break;
    case Difference::Kind::Withdrawn:
        line += ": withdrawn";
        break;
    }
    return line + (mayRefuseCallers ? " (may refuse or fail callers)" : "");
}

/** Reads and parses a file, or prints why not and gives the exit code. */
tl::expected<ConfigFile, int> loadFile(const Context &context, const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return tl::unexpected(reportUsage(context, checkSpec, text.error()));
    auto parsed = parseConfigFile(*text, path, context.hooks_);
    if (parsed)
        return std::move(*parsed);
    for (const auto &fault : parsed.error())
        context.err_ << printable(fault.text()) << "\n";
    return tl::unexpected(static_cast<int>(Refused));
}

tl::expected<ConfigFile, int> fetchState(const Context &context, const CommandLine &line)
{
    const auto target = readAdminTarget(line);
    if (!target)
        return tl::unexpected(reportUsage(context, checkSpec, target.error()));
    AdminConnection connection(target->address_, target->token_);
    const auto result = connection.call("GET", "/v1/state");
    if (!result || result->status_ != statusOk)
        return tl::unexpected(reportFailure(context, line.admin_, result));
    auto state = note::decodeState(result->body_);
    if (state)
        return std::move(*state);
    context.err_ << "the daemon at " << line.admin_ << " gave no state of release notes\n";
    return tl::unexpected(static_cast<int>(Unreachable));
}

std::vector<Finding> findingsOf(const note::State &state, const note::ReleaseNote &note)
{
    const auto place = "note \"" + note.id_ + "\"";
    if (const auto known = state.outcomes_.find(note.id_); known != state.outcomes_.end()) {
        const auto &outcome = known->second;
        const auto what = std::string(outcome.accepted_ ? "was accepted" : "was rejected")
                          + " at revision " + std::to_string(outcome.revision_);
        if (outcome.contentDigest_ == note::digestOf(note))
            return {{Severity::Error, place, "is decided already: it " + what}};
        return {{Severity::Error, place, "has the id of another note, which " + what}};
    }
    if (auto reason = note::rejectionReason(state, note))
        return {{Severity::Error, place, "would be rejected: " + *reason}};
    return {};
}

base::Result<Proposal> proposalOf(const note::ReleaseNote &note,
                                  const std::optional<ConfigFile> &inForce)
{
    if (!inForce && note.base_ != 0)
        return base::fail("bad-usage", "a release note with a base needs the state in force: give "
                                       "--against or --admin");
    const auto *state = inForce ? std::get_if<note::State>(&*inForce) : nullptr;
    if (inForce && state == nullptr)
        return base::fail("bad-usage", "a release note is compared with a state of release notes");
    const auto before = state != nullptr ? *state : note::State();
    Proposal proposal{.after_ = draftOf(withChanges(before, note)),
                      .findings_ = findingsOf(before, note)};
    if (state != nullptr)
        proposal.before_ = draftOf(before);
    return proposal;
}

base::Result<Proposal> proposalOf(const note::State &state,
                                  const std::optional<ConfigFile> &inForce)
{
    Proposal proposal{.after_ = draftOf(state)};
    if (!inForce)
        return proposal;
    const auto *before = std::get_if<note::State>(&*inForce);
    if (before == nullptr)
        return base::fail("bad-usage",
                          "a state of release notes is compared with another state of them");
    proposal.before_ = draftOf(*before);
    return proposal;
}

base::Result<Proposal> proposalOf(const configcheck::Draft &draft,
                                  const std::optional<ConfigFile> &inForce)
{
    Proposal proposal{.after_ = draft};
    if (!inForce)
        return proposal;
    const auto *before = std::get_if<configcheck::Draft>(&*inForce);
    if (before == nullptr)
        return base::fail("bad-usage", "a configuration of the platform is compared with another "
                                       "one of it: give --against");
    if (draft.revision_ <= before->revision_)
        proposal.findings_.push_back({Severity::Error, "",
                                      "version " + std::to_string(draft.revision_)
                                              + " is not above the version "
                                              + std::to_string(before->revision_) + " in force"});
    if (!before->faults_.empty())
        proposal.findings_.push_back({Severity::Warning, "",
                                      "the version in force has entries with faults: what could "
                                      "not be read of them is not compared"});
    proposal.before_ = *before;
    return proposal;
}

int report(const Context &context, const std::string &file, Proposal proposal)
{
    auto &findings = proposal.findings_;
    const auto checked = configcheck::check(proposal.after_);
    findings.insert(findings.end(), checked.begin(), checked.end());
    std::ranges::stable_sort(findings, std::ranges::greater(), &Finding::severity_);
    printSome(context.err_, findings,
              [&](const Finding &finding) { return lineOf(file, finding); });
    std::vector<Difference> differences;
    if (proposal.before_)
        differences = configcheck::compare(*proposal.before_, proposal.after_);
    std::stable_partition(differences.begin(), differences.end(),
                          [](const auto &difference) { return difference.mayRefuseCallers_; });
    printSome(context.out_, differences,
              [](const Difference &difference) { return lineOf(difference); });

    const auto errors = std::ranges::count(findings, Severity::Error, &Finding::severity_);
    const auto refusing = std::ranges::count(differences, true, &Difference::mayRefuseCallers_);
    const auto warnings = static_cast<std::ptrdiff_t>(findings.size()) - errors;
    context.out_ << file << ": " << errors << " errors, " << warnings << " warnings";
    if (proposal.before_)
        context.out_ << ", " << differences.size() << " differences, of which " << refusing
                     << " may refuse or fail callers";
    context.out_ << (errors > 0 ? ": do not send it\n" : ": may be sent\n");
    if (errors > 0)
        return Refused;
    return warnings > 0 || refusing > 0 ? Doubtful : Ok;
}

int runCheck(const Context &context, const CommandLine &line)
{
    const auto &file = line.positional_.front();
    const auto config = loadFile(context, file);
    if (!config)
        return config.error();
    std::optional<ConfigFile> inForce;
    if (!line.against_.empty() || !line.admin_.empty()) {
        auto loaded =
                line.admin_.empty() ? loadFile(context, line.against_) : fetchState(context, line);
        if (!loaded)
            return loaded.error();
        inForce = std::move(*loaded);
    }
    auto proposal =
            std::visit([&](const auto &value) { return proposalOf(value, inForce); }, *config);
    if (!proposal)
        return reportUsage(context, checkSpec, proposal.error());
    return report(context, file, std::move(*proposal));
}

} // namespace

int configCheck(const Context &context)
{
    return runCommand(context, checkSpec, runCheck);
}

} // namespace cli::details
