#include <ChildProcess.h>

#include <chrono>
#include <csignal>
#include <cstring>
#include <thread>

#include <base/Clock.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

extern char **environ;

namespace bench {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(10);

std::vector<char *> argumentsOf(std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    for (std::string &part : command) {
        arguments.push_back(part.data());
    }
    arguments.push_back(nullptr);
    return arguments;
}

} // namespace

base::Result<std::unique_ptr<ChildProcess>> ChildProcess::start(std::vector<std::string> command,
                                                                const std::string &outputFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::vector<char *> arguments = argumentsOf(command);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return base::fail("start-failed", command[0] + ": " + std::strerror(error));
    }
    return std::unique_ptr<ChildProcess>(new ChildProcess(pid));
}

ChildProcess::ChildProcess(pid_t pid)
    : pid_(pid)
{}

ChildProcess::~ChildProcess()
{
    signal(SIGKILL);
    waitFor(base::Millis(5000));
}

void ChildProcess::signal(int number)
{
    if (!ended_) {
        kill(pid_, number);
    }
}

bool ChildProcess::waitFor(base::Millis time)
{
    const base::Millis deadline = base::monotonicNow() + time;
    while (!ended_) {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            ended_ = true;
            exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        } else if (base::monotonicNow() >= deadline) {
            return false;
        } else {
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

} // namespace bench
