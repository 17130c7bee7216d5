#pragma once

#include <memory>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <sys/types.h>

namespace bench {

/** Child process; the destructor kills it if it still runs. */
class ChildProcess
{
public:
    /**
     * Starts a program with stdout and stderr appended to a file; fails with "start-failed". The
     * variables ("NAME=value") are added to the environment of this process.
     */
    static base::Result<std::unique_ptr<ChildProcess>>
    start(std::vector<std::string> command, const std::string &outputFile,
          std::vector<std::string> variables = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal; ignored if the process is known to have ended. */
    void signal(int number);

    /** Waits up to the given time for the process to end; returns whether it has ended. */
    bool waitFor(base::Millis time);

    pid_t pid() const { return pid_; }

    /** Exit code; -1 while the process runs or if a signal ended it. */
    int exitCode() const { return exitCode_; }

private:
    explicit ChildProcess(pid_t pid);

    pid_t pid_;
    bool ended_ = false;
    int exitCode_ = -1;
};

} // namespace bench
