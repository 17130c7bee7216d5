#include "details/CommandLine.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <cli/ExitCode.h>
#include <cxxopts.hpp>

namespace cli::details {

namespace {

constexpr std::size_t maxFileBytes = 16 * 1024 * 1024;

cxxopts::Options makeOptions(const CommandSpec &spec)
{
    cxxopts::Options options(std::string("fuchsiadock ") + spec.name_,
                             std::string(spec.summary_) + "\n\n" + spec.details_);
    options.positional_help(spec.positional_);
    auto add = options.add_options();
    add("h,help", "show this help");
    if (spec.usesAdmin_) {
        add("admin", "administration address of any daemon", cxxopts::value<std::string>(),
            "HOST:PORT");
        add("token-file", "file with the access token (adminToken of the daemon's settings)",
            cxxopts::value<std::string>(), "FILE");
    }
    if (spec.takesAgainst_)
        add("against", "configuration in force", cxxopts::value<std::string>(), "FILE");
    if (spec.takesTimeout_)
        add("timeout", "how long to repeat the request until the outcome is known",
            cxxopts::value<int>()->default_value("60"), "SECONDS");
    add("positional", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("positional");
    return options;
}

std::string helpText(const cxxopts::Options &options)
{
    // The usage line already shows the positional arguments.
    std::istringstream lines(options.help());
    std::string result;
    for (std::string line; std::getline(lines, line);) {
        if (line.find("--positional") == std::string::npos)
            result += line + "\n";
    }
    return result;
}

CommandLine toCommandLine(const CommandSpec &spec, const cxxopts::Options &options,
                          const cxxopts::ParseResult &parsed)
{
    CommandLine line;
    line.isHelp_ = parsed.count("help") > 0;
    line.help_ = helpText(options);
    if (parsed.count("positional") > 0)
        line.positional_ = parsed["positional"].as<std::vector<std::string>>();
    if (spec.usesAdmin_ && parsed.count("admin") > 0)
        line.admin_ = parsed["admin"].as<std::string>();
    if (spec.usesAdmin_ && parsed.count("token-file") > 0)
        line.tokenFile_ = parsed["token-file"].as<std::string>();
    if (spec.takesAgainst_ && parsed.count("against") > 0)
        line.against_ = parsed["against"].as<std::string>();
    if (spec.takesTimeout_)
        line.timeoutSeconds_ = parsed["timeout"].as<int>();
    return line;
}

base::Result<CommandLine> validate(const CommandSpec &spec, CommandLine line)
{
    if (line.isHelp_)
        return line;
    const std::string expected = spec.positional_;
    if (expected.empty() && !line.positional_.empty())
        return base::fail("bad-usage", "unexpected argument \"" + line.positional_.front() + "\"");
    if (!expected.empty() && line.positional_.size() != 1)
        return base::fail("bad-usage", "exactly one " + expected + " is needed");
    if (!line.against_.empty() && !line.admin_.empty())
        return base::fail("bad-usage", "--against and --admin exclude each other");
    if (spec.takesAgainst_ && line.admin_.empty() && line.tokenFile_.empty())
        return line;
    if (spec.usesAdmin_ && (line.admin_.empty() || line.tokenFile_.empty()))
        return base::fail("bad-usage", "--admin HOST:PORT and --token-file FILE are needed");
    return line;
}

} // namespace

base::Result<CommandLine> parse(const CommandSpec &spec, const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv{"fuchsiadock"};
    for (const auto &argument : arguments)
        argv.push_back(argument.c_str());
    auto options = makeOptions(spec);
    try {
        const auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
        return validate(spec, toCommandLine(spec, options, parsed));
    } catch (const cxxopts::exceptions::exception &error) {
        return base::fail("bad-usage", error.what());
    }
}

base::Result<std::string> readFile(const std::string &path)
{
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::string buffer(4096, '\0');
    while (file && text.size() <= maxFileBytes) {
        file.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
        text.append(buffer, 0, static_cast<std::size_t>(file.gcount()));
    }
    if (!file.eof())
        return base::fail("bad-usage", path + ": cannot be read: "
                                               + (errno != 0 ? std::strerror(errno) : "too large"));
    return text;
}

base::Result<AdminTarget> readAdminTarget(const CommandLine &line)
{
    const auto address = model::Address::parse(line.admin_);
    if (!address)
        return base::fail("bad-usage", "--admin: " + address.error().message_);
    auto token = readFile(line.tokenFile_);
    if (!token)
        return tl::unexpected(token.error());
    token->erase(std::min(token->find_first_of("\r\n"), token->size()));
    if (token->empty())
        return base::fail("bad-usage", line.tokenFile_ + ":1: the token is missing");
    return AdminTarget{*address, *token};
}

int reportUsage(const Context &context, const CommandSpec &spec, const base::Error &error)
{
    context.err_ << "fuchsiadock " << spec.name_ << ": " << error.message_ << " (see: fuchsiadock "
                 << spec.name_ << " --help)\n";
    return WrongUsage;
}

int runCommand(const Context &context, const CommandSpec &spec,
               int (*function)(const Context &, const CommandLine &))
{
    const auto line = parse(spec, context.arguments_);
    if (!line)
        return reportUsage(context, spec, line.error());
    if (line->isHelp_) {
        context.out_ << line->help_;
        return Ok;
    }
    return function(context, *line);
}

} // namespace cli::details
