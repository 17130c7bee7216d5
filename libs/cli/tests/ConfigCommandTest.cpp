#include <gtest/gtest.h>

#include "RunClient.h"
#include <cli/ExitCode.h>
#include <model/KeyDigest.h>
#include <note/Parse.h>
#include <note/Record.h>
#include <rapidcheck/gtest.h>

namespace {

using cli::test::CommandResult;
using cli::test::writeFile;

const std::string firstNote =
        "id: n1\nbase: 0\nadded:\n  services: [wallet]\n  classes:\n"
        "    - {name: read, service: wallet, rank: 2, idempotent: true, deadline: 2s}\n"
        "  customers:\n    - {name: school, rate: 20, burst: 40, keys: ["
        + model::KeyDigest::of("k1").text() + "]}\n";

CommandResult check(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), {"config", "check"});
    return cli::test::run(arguments);
}

note::State stateInForce()
{
    return note::applyNote({}, 0, *note::parseNote(firstNote, "n1"));
}

TEST(ConfigCommand, JudgesANoteByWhatItMakesOfTheState)
{
    EXPECT_EQ(check({writeFile("first", firstNote)}).code_, cli::Ok);
    const auto state = writeFile("state", note::encodeState(stateInForce()));
    EXPECT_EQ(check({state}).code_, cli::Ok);

    const auto lower =
            writeFile("lower", "id: n2\nbase: 1\nchanged:\n  classes:\n    - {name: read,"
                               " service: wallet, rank: 2, idempotent: true, deadline: "
                               "1s}\n");
    const auto lowered = check({lower, "--against", state});
    EXPECT_EQ(lowered.code_, cli::Doubtful) << lowered.err_;
    EXPECT_EQ(lowered.out_, "class \"read\": deadline 2000 ms -> 1000 ms (may refuse or "
                            "fail callers)\n"
                                    + lower
                                    + ": 0 errors, 0 warnings, 1 differences, of which 1 may "
                                      "refuse or fail callers: may be sent\n");
    EXPECT_EQ(check({lower}).code_, cli::WrongUsage) << "its base is not known";

    const auto lost = writeFile("lost", "id: n3\nbase: 1\nwithdrawn: {services: [wallet]}\n");
    const auto rejected = check({lost, "--against", state});
    EXPECT_EQ(rejected.code_, cli::Refused);
    EXPECT_NE(rejected.err_.find("would be rejected: class \"read\""), std::string::npos);
    const auto again = check({writeFile("again", firstNote), "--against", state});
    EXPECT_EQ(again.code_, cli::Refused);
    EXPECT_NE(again.err_.find("is decided already: it was accepted"), std::string::npos);
}

TEST(ConfigCommand, ComparesOnlyFilesOfOneForm)
{
    const auto older = writeFile("older", "{\"version\":1}");
    const auto newer = writeFile("newer", "{\"version\":10}");
    const auto state = writeFile("state", note::encodeState(stateInForce()));
    EXPECT_EQ(check({newer, "--against", older}).code_, cli::Ok);
    EXPECT_EQ(check({older, "--against", newer}).code_, cli::Refused);
    EXPECT_EQ(check({newer, "--against", state}).code_, cli::WrongUsage);
    EXPECT_EQ(check({state, "--against", newer}).code_, cli::WrongUsage);
    EXPECT_EQ(check({newer, "--against", older, "--admin", "x"}).code_, cli::WrongUsage);
    EXPECT_EQ(
            check({newer, "--admin", "127.0.0.1:1", "--token-file", writeFile("token", "t")}).code_,
            cli::Unreachable);
    EXPECT_EQ(check({newer, "--token-file", "x"}).code_, cli::WrongUsage);
    EXPECT_EQ(check({}).code_, cli::WrongUsage);
    const auto broken = writeFile("broken", "{\n \"keys\": [\"k1\" \"k2\"]}");
    EXPECT_EQ(check({broken}).err_, broken + ":2: is not valid JSON from here\n");
    EXPECT_EQ(check({writeFile("empty", " \n")}).code_, cli::Refused);
}

RC_GTEST_PROP(ConfigCommand, damagedFilesAreReported, ())
{
    static const std::vector<std::string> files{firstNote, note::encodeState(stateInForce()),
                                                "{\"version\":1,\"resources\":[]}", ""};
    auto text = *rc::gen::elementOf(files);
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto noise = *rc::gen::arbitrary<std::string>();
    text = text.substr(0, cut) + noise
           + (*rc::gen::arbitrary<bool>() ? text.substr(cut) : std::string());
    const auto file = writeFile("damaged", text);
    const auto result = check({file, "--against", writeFile("whole", files[1])});
    RC_ASSERT(result.code_ == cli::Refused || result.code_ == cli::WrongUsage
              || result.code_ == cli::Doubtful || result.code_ == cli::Ok);
    RC_ASSERT(result.code_ == cli::Ok || !(result.out_ + result.err_).empty());
    // Only the lines of the command, whatever the file holds.
    for (const char c : result.out_ + result.err_)
        RC_ASSERT(c == '\n' || static_cast<unsigned char>(c) >= ' ');
}

} // namespace
