#include "details/Commands.h"

#include <algorithm>
#include <array>
#include <string>

#include <sys/random.h>

#include "details/CommandLine.h"
#include <cli/ExitCode.h>
#include <model/KeyDigest.h>

namespace cli::details {

namespace {

constexpr std::size_t maxKeyBytes = 256;
constexpr std::size_t newKeyBytes = 24;

constexpr CommandSpec digestSpec{
        "key digest", "", "Reads a customer's key from standard input and prints its digest.",
        "Release notes name keys by their digests. The key is never an argument, as other users\n"
        "of a machine can see these.\n",
        false};

constexpr CommandSpec newSpec{
        "key new", "", "Prints a new random key and its digest.",
        "Give the key to the customer and write the digest into a release note.\n", false};

/** Whether the text can be sent as a key in a header field. */
bool isKey(const std::string &text)
{
    return !text.empty() && text.size() <= maxKeyBytes
           && std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

/** Reads one line, of which a line end is no part; bounded by maxKeyBytes. */
std::string readKey(std::istream &in)
{
    std::string text(maxKeyBytes + 2, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(in.gcount()));
    for (const char lineEnd : {'\n', '\r'}) {
        if (text.ends_with(lineEnd))
            text.pop_back();
    }
    return text;
}

int runDigest(const Context &context, const CommandLine &)
{
    const auto key = readKey(context.in_);
    if (!isKey(key)) {
        context.err_ << "standard input must be one line with a key of 1 to " << maxKeyBytes
                     << " printable characters without spaces\n";
        return Refused;
    }
    context.out_ << model::KeyDigest::of(key).text() << "\n";
    return Ok;
}

int runNew(const Context &context, const CommandLine &)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int bitsPerDigit = 4;
    constexpr int lowDigit = 0xf;
    std::array<unsigned char, newKeyBytes> bytes{};
    if (getrandom(bytes.data(), bytes.size(), 0) != static_cast<ssize_t>(bytes.size())) {
        context.err_ << "the system gives no random numbers\n";
        return Refused;
    }
    std::string key;
    for (const auto byte : bytes) {
        key.push_back(digits[byte >> bitsPerDigit]);
        key.push_back(digits[byte & lowDigit]);
    }
    context.out_ << "key:    " << key << "\ndigest: " << model::KeyDigest::of(key).text() << "\n";
    return Ok;
}

} // namespace

int keyDigest(const Context &context)
{
    return runCommand(context, digestSpec, runDigest);
}

int keyNew(const Context &context)
{
    return runCommand(context, newSpec, runNew);
}

} // namespace cli::details
