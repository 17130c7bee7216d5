#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <cli/Client.h>
#include <cli/ExitCode.h>
#include <model/KeyDigest.h>
#include <net/HttpServer.h>
#include <net/Reactor.h>

namespace {

const std::string validNote = "id: n1\nbase: 0\nadded: {services: [wallet]}\n";

struct CommandResult
{
    int code_;
    std::string out_;
    std::string err_;
};

CommandResult run(const std::vector<std::string> &arguments, const std::string &input = "")
{
    const cli::ClientHooks hooks{[](const std::string &file) {
        return file == "good" ? std::vector<std::string>{}
                              : std::vector<std::string>{file + ":3: id: is missing"};
    }};
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int code = cli::runClient(arguments, hooks, in, out, err);
    return {code, out.str(), err.str()};
}

std::string writeFile(const std::string &name, const std::string &text)
{
    const auto path =
            testing::TempDir() + "fuchsiadock-cli-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path) << text;
    return path;
}

/** Fake administration API that sends the given answers in order and repeats the last one. */
class FakeAdmin
{
public:
    explicit FakeAdmin(std::vector<net::HttpResponse> answers)
        : answers_(std::move(answers))
    {
        net::HttpServerOptions options;
        options.listen_ = {"127.0.0.1", 0};
        server_ = std::move(*net::HttpServer::start(
                reactor_, options, [this](net::ExchangeId id, const net::HttpRequest &request) {
                    requests_.push_back(request);
                    const auto index = std::min(requests_.size(), answers_.size()) - 1;
                    server_->respond(id, answers_[index]);
                }));
        port_ = server_->port();
        thread_ = std::thread([this] { reactor_.run(); });
    }

    ~FakeAdmin()
    {
        reactor_.stop();
        thread_.join();
    }

    std::vector<std::string> options() const
    {
        return {"--admin", "127.0.0.1:" + std::to_string(port_), "--token-file",
                writeFile("token", "s3cret\n")};
    }

    CommandResult run(std::vector<std::string> arguments) const
    {
        for (const auto &option : options())
            arguments.push_back(option);
        return ::run(arguments);
    }

    std::vector<net::HttpRequest> requests_; ///< read only after the calls have returned

private:
    const std::vector<net::HttpResponse> answers_;
    net::Reactor reactor_;
    std::unique_ptr<net::HttpServer> server_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

net::HttpResponse answer(int status, const std::string &body)
{
    return {status, {}, body};
}

TEST(Client, EveryCommandHasHelpAndReportsUsageErrors)
{
    const std::vector<std::vector<std::string>> commands{{"note", "check"},  {"note", "publish"},
                                                         {"note", "status"}, {"note", "list"},
                                                         {"status"},         {"settings", "check"}};
    for (auto command : commands) {
        EXPECT_TRUE(cli::isClientCommand(command.front()));
        auto wrong = command;
        wrong.emplace_back("--no-such-option");
        EXPECT_EQ(run(wrong).code_, cli::WrongUsage);
        EXPECT_NE(run(wrong).err_.find("no-such-option"), std::string::npos);
        EXPECT_EQ(run(command).code_, cli::WrongUsage);
        command.emplace_back("--help");
        const auto help = run(command);
        EXPECT_EQ(help.code_, cli::Ok);
        EXPECT_GT(help.out_.size(), 100U);
    }
    EXPECT_FALSE(cli::isClientCommand("daemon"));
    EXPECT_EQ(run({"note"}).code_, cli::WrongUsage);
    EXPECT_EQ(run({"note", "--help"}).code_, cli::Ok);
}

TEST(Client, ChecksFiles)
{
    EXPECT_EQ(run({"note", "check", writeFile("good", validNote)}).code_, cli::Ok);
    const auto bad = writeFile("bad", "id: n1\nbase: 0\nadd: {}\n");
    EXPECT_EQ(run({"note", "check", bad}).code_, cli::Refused);
    EXPECT_NE(run({"note", "check", bad}).err_.find(bad + ":3: add: unknown key"),
              std::string::npos);
    const auto missing = run({"note", "check", "/no/such/file"});
    EXPECT_EQ(missing.code_, cli::WrongUsage);
    EXPECT_NE(missing.err_.find("No such file"), std::string::npos) << missing.err_;
    EXPECT_EQ(run({"settings", "check", "good"}).code_, cli::Ok);
    EXPECT_EQ(run({"settings", "check", "other"}).code_, cli::Refused);
}

TEST(Client, MakesDigestsOfKeys)
{
    const auto digest = model::KeyDigest::of("key-1").text() + "\n";
    EXPECT_EQ(run({"key", "digest"}, "key-1\n").out_, digest);
    EXPECT_EQ(run({"key", "digest"}, "key-1\r\n").out_, digest);
    for (const auto *invalid : {"", "\n", "two words", "two\nlines", "\x01"}) {
        const auto result = run({"key", "digest"}, invalid);
        EXPECT_EQ(result.code_, cli::Refused) << invalid;
        EXPECT_EQ(result.out_, "");
    }
    EXPECT_EQ(run({"key", "digest"}, std::string(100000, 'x')).code_, cli::Refused);
    EXPECT_EQ(run({"key", "digest", "key-1"}, "key-1").code_, cli::WrongUsage);
    EXPECT_EQ(run({"key", "digest", "--help"}).code_, cli::Ok);

    const auto made = run({"key", "new"}).out_;
    const auto key = made.substr(8, 48);
    EXPECT_EQ(made, "key:    " + key + "\ndigest: " + model::KeyDigest::of(key).text() + "\n");
    EXPECT_NE(run({"key", "new"}).out_, made);
}

TEST(Client, PublishRetriesUntilTheOutcomeIsKnown)
{
    const auto file = writeFile("publish", validNote);
    const FakeAdmin later({answer(504, R"({"error":"not-known","message":"no outcome yet"})"),
                           answer(200, R"({"id":"n1","outcome":"accepted","revision":1})")});
    const auto accepted = later.run({"note", "publish", file});
    EXPECT_EQ(accepted.code_, cli::Ok) << accepted.err_;
    EXPECT_NE(accepted.out_.find("is revision 1"), std::string::npos);
    ASSERT_EQ(later.requests_.size(), 2U);
    EXPECT_EQ(later.requests_[1].body_, validNote);
    EXPECT_EQ(net::headerValue(later.requests_[1].headers_, "Authorization"), "Bearer s3cret");

    const FakeAdmin never({answer(504, R"({"error":"not-known","message":"no outcome yet"})")});
    EXPECT_EQ(never.run({"note", "publish", file, "--timeout", "0"}).code_, cli::OutcomeUnknown);
    const FakeAdmin conflict({answer(409, R"({"id":"n1","reason":"conflicts with note \"x\""})")});
    const auto rejected = conflict.run({"note", "publish", file});
    EXPECT_EQ(rejected.code_, cli::Refused);
    EXPECT_NE(rejected.err_.find("conflicts with note \"x\""), std::string::npos);
    const FakeAdmin wrongToken({answer(401, R"({"message":"send the access token"})")});
    EXPECT_EQ(wrongToken.run({"note", "publish", file}).code_, cli::Unreachable);
    const auto unreachable = run({"note", "publish", file, "--admin", "127.0.0.1:1", "--token-file",
                                  writeFile("token", "t")});
    EXPECT_EQ(unreachable.code_, cli::Unreachable);
}

TEST(Client, ShowsNotesAndStatus)
{
    const FakeAdmin accepting(
            {answer(200, R"({"id":"n1","outcome":"accepted","revision":1,"inForce":[)"
                         R"({"dataCentre":"north","daemons":3,"daemonsInForce":2}]})")});
    const auto status = accepting.run({"note", "status", "n1"});
    EXPECT_EQ(status.code_, cli::Ok);
    EXPECT_NE(status.out_.find("north        2            3"), std::string::npos) << status.out_;
    const FakeAdmin none({answer(404, R"({"message":"no outcome"})")});
    EXPECT_EQ(none.run({"note", "status", "n1"}).code_, cli::NoSuchNote);
    const FakeAdmin daemon(
            {answer(200, R"({"notes":{"hasConfig":true,"revision":7,"logOffset":9,"logError":""},)"
                         R"("daemon":{"refused":{"rank 9":4}}})"),
             answer(200, R"({"members":[{"dataCentre":"north","service":"wallet",)"
                         R"("serving":"ready","revision":7}]})")});
    const auto shown = daemon.run({"status"});
    EXPECT_EQ(shown.code_, cli::Ok);
    for (const auto *text : {"revision in force: 7", "north", "wallet", "rank 9: 4"})
        EXPECT_NE(shown.out_.find(text), std::string::npos) << shown.out_;
    for (const auto *body : {"[1]", "not JSON", R"({"notes":3,"members":[3,{"revision":"x"}]})"}) {
        const FakeAdmin malformed({answer(200, body)});
        EXPECT_EQ(malformed.run({"note", "list"}).code_, cli::Ok);
        EXPECT_EQ(malformed.run({"status"}).code_, cli::Ok);
    }
}

} // namespace
