#include <Options.h>

#include <iostream>
#include <sstream>

namespace bench {

namespace {

base::Result<cxxopts::ParseResult> parse(cxxopts::Options &options, int argc, char **argv)
{
    try {
        return options.parse(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        return base::fail("bad-usage", error.what());
    }
}

base::Result<int> run(const cxxopts::ParseResult &arguments,
                      const std::function<base::Result<int>(const cxxopts::ParseResult &)> &body)
{
    try {
        return body(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        return base::fail("bad-usage", error.what());
    }
}

} // namespace

int runWithOptions(cxxopts::Options &options, int argc, char **argv,
                   const std::function<base::Result<int>(const cxxopts::ParseResult &)> &body)
{
    options.add_options()("help", "print this help");
    const auto arguments = parse(options, argc, argv);
    if (arguments && arguments->count("help") > 0) {
        std::cout << options.help() << '\n';
        return exitcode::success;
    }
    const auto result = arguments.and_then([&](const auto &parsed) { return run(parsed, body); });
    if (result) {
        return *result;
    }
    std::cerr << options.program() << ": " << result.error().message_ << '\n';
    return result.error().code_ == "bad-usage" ? exitcode::usage : exitcode::failure;
}

base::Result<std::vector<model::Address>> parseAddresses(const std::string &text)
{
    std::vector<model::Address> addresses;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        auto address = model::Address::parse(part);
        if (!address) {
            return tl::unexpected(address.error());
        }
        addresses.push_back(*address);
    }
    if (addresses.empty()) {
        return base::fail("bad-usage", "at least one address is required");
    }
    return addresses;
}

} // namespace bench
