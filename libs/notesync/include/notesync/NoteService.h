#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <model/Config.h>
#include <model/Member.h>
#include <net/HttpRequest.h>
#include <net/HttpResponse.h>
#include <note/Fault.h>
#include <note/Outcome.h>
#include <note/State.h>
#include <notesync/PublishResult.h>
#include <notesync/SyncOptions.h>
#include <notesync/SyncStatus.h>
#include <tl/expected.hpp>

namespace logclient {
class LogClient;
}

namespace net {
class Reactor;
}

namespace notesync {

/**
 * Release notes of one daemon: joins NoteSync with the log and with other daemons over HTTP on
 * their control ports.
 *
 * All members are for the reactor's thread; callbacks run there, never inside a call.
 */
class NoteService
{
public:
    using ConfigHandler = std::function<void(std::shared_ptr<const model::Config>)>;
    /** Gets the id of the note and what came of it. */
    using PublishDone = std::function<void(const std::string &, const PublishResult &)>;

    NoteService(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log,
                const SyncOptions &options, ConfigHandler onConfig);
    ~NoteService();
    NoteService(const NoteService &) = delete;
    NoteService &operator=(const NoteService &) = delete;

    /** The live members, with or without this daemon. Call it whenever one changes. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /**
     * Publishes the YAML text of a note. Returns its faults when it is not a note; else done is
     * called once. Publishing the same note again is safe.
     */
    tl::expected<void, std::vector<note::Fault>> publish(std::string_view text, PublishDone done);

    /** Answer to `GET` or `POST /notes` of another daemon; nothing for other targets. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    /** What became of a note, as far as this daemon knows. */
    std::optional<note::Outcome> outcome(const std::string &noteId) const;

    /** The folded state; null before the first one. Valid until the reactor's next event. */
    const note::State *state() const;

    /** Revision in force here; 0 before the first configuration too. */
    model::Revision revision() const;

    /** Whether a configuration is in force. Without one only `not-run` can be answered. */
    bool hasConfig() const;

    SyncStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace notesync
