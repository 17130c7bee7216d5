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

/** Null-terminated array of pointers into the strings. */
std::vector<char *> pointersTo(std::vector<std::string> &strings)
{
    std::vector<char *> pointers;
    for (std::string &one : strings) {
        pointers.push_back(one.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

base::Result<std::unique_ptr<ChildProcess>> ChildProcess::start(std::vector<std::string> command,
                                                                const std::string &outputFile,
                                                                std::vector<std::string> variables)
{
    for (char **inherited = environ; *inherited != nullptr; ++inherited) {
        variables.emplace_back(*inherited);
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::vector<char *> arguments = pointersTo(command);
    std::vector<char *> environment = pointersTo(variables);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(),
                                  environment.data());
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
