#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include <unistd.h>

#include <cli/Client.h>

namespace cli::test {

struct CommandResult
{
    int code_;
    std::string out_;
    std::string err_;
};

/**
 * Runs a client command. Settings are valid if the file is named "good"; a configuration of the
 * platform is any text with "version", which is the number of its bytes.
 */
inline CommandResult run(const std::vector<std::string> &arguments, const std::string &input = "")
{
    ClientHooks hooks;
    hooks.checkSettings_ = [](const std::string &file) {
        return file == "good" ? std::vector<std::string>{}
                              : std::vector<std::string>{file + ":3: id: is missing"};
    };
    hooks.decodePlatformConfig_ = [](std::string_view record) -> base::Result<configcheck::Draft> {
        if (record.find("version") == std::string_view::npos)
            return base::fail("bad-config", "has no version");
        return configcheck::Draft{.revision_ = record.size(),
                                  .entries_ = {{"x", model::Service{"wallet"}}}};
    };
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int code = runClient(arguments, hooks, in, out, err);
    return {code, out.str(), err.str()};
}

inline std::string writeFile(const std::string &name, const std::string &text)
{
    auto path = testing::TempDir() + "fuchsiadock-cli-" + std::to_string(getpid()) + "-" + name;
    std::ofstream(path, std::ios::binary) << text;
    return path;
}

} // namespace cli::test
