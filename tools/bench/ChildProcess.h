#pragma once

#include <memory>
#include <string>
#include <vector>

#include <base/Error.h>
#include <base/Millis.h>
#include <sys/types.h>

namespace bench {

/** One process that this program has started. Killed, at the latest, when destroyed. */
class ChildProcess
{
public:
    /** Starts a program; its output goes to the file. Fails with "start-failed". */
    static base::Result<std::unique_ptr<ChildProcess>> start(std::vector<std::string> command,
                                                             const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal; ignored once the process has ended. */
    void signal(int number);

    /** Waits for the end at most so long; true when it has ended. */
    bool waitFor(base::Millis time);

    pid_t pid() const { return pid_; }

    /** Exit code after the end, or -1 when a signal ended it. */
    int exitCode() const { return exitCode_; }

private:
    explicit ChildProcess(pid_t pid);

    pid_t pid_;
    bool ended_ = false;
    int exitCode_ = -1;
};

} // namespace bench
