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
 * Issues keys and alone decides on them: each key is run at most once.
 *
 * Keeps one record from the first use of a key until its expiry. Delegates the run to one
 * executor, and to another only when the executor before said that it has not run. No I/O; not
 * thread-safe. The clock given must not run backwards; a pause of the process does no harm.
 */
class Home
{
public:
    /** The secret must be random and must not leave the process. */
    Home(Incarnation self, const HomeSettings &settings, std::string secret);
    ~Home();
    Home(const Home &) = delete;
    Home &operator=(const Home &) = delete;

    /** Issues a fresh key for one request of that customer to that service. */
    Key issueKey(std::string customer, std::string service, base::Millis now);

    /** Takes an event and returns what is to be done, in order. */
    std::vector<HomeCommand> handle(const HomeEvent &event, base::Millis now);

    /** Whether this process issued keys of that home and generation. */
    bool isHomeOf(const Key &key) const;

    /** When a WakeUp is due; Millis::max() for never. */
    base::Millis nextWakeUp() const;

    /** How much is kept. */
    RecordCounts counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace once
