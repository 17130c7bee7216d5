#pragma once

#include <memory>
#include <string>
#include <vector>

#include <base/Millis.h>
#include <once/HomeCommand.h>
#include <once/HomeEvent.h>
#include <once/HomeSettings.h>
#include <once/Incarnation.h>
#include <once/RecordCounts.h>

namespace once {

/**
 * Issues keys and is the only one to decide on them: each key is run at most once.
 *
 * Keeps one record from the first use of a key until its expiry. Delegates the request to one
 * executor, and to another only if the previous executor reported that it has not run. No I/O; not
 * thread-safe. The time passed in must be monotonic; a pause of the process is harmless.
 */
class Home
{
public:
    /** The secret must be random and must not leave the process. */
    Home(Incarnation self, const HomeSettings &settings, std::string secret);
    ~Home();
    Home(const Home &) = delete;
    Home &operator=(const Home &) = delete;

    /** Issues a new key for one request of that customer to that service. */
    Key issueKey(std::string customer, std::string service, base::Millis now);

    /** Processes an event and returns the commands to execute, in order. */
    std::vector<HomeCommand> handle(const HomeEvent &event, base::Millis now);

    /** Whether the home and generation named in the key are those of this process. */
    bool isHomeOf(const Key &key) const;

    /** Time at which a WakeUp is due; Millis::max() if none is. */
    base::Millis nextWakeUp() const;

    /** Current resource usage. */
    RecordCounts counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace once
