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
 * Release notes of one daemon: connects NoteSync to the log, and over HTTP to the control ports of
 * other daemons.
 *
 * All members must be called on the reactor's thread. Callbacks run there too, never inside a call.
 */
class NoteService
{
public:
    using ConfigHandler = std::function<void(std::shared_ptr<const model::Config>)>;
    /** Receives the id of the note and the result of its publication. */
    using PublishDone = std::function<void(const std::string &, const PublishResult &)>;

    NoteService(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log,
                const SyncOptions &options, ConfigHandler onConfig);
    ~NoteService();
    NoteService(const NoteService &) = delete;
    NoteService &operator=(const NoteService &) = delete;

    /** Sets the live members, which may include this daemon. Call it whenever one changes. */
    void setMembers(std::shared_ptr<const std::vector<model::Member>> members);

    /**
     * Publishes a release note given as YAML text. Returns the faults of an invalid text; otherwise
     * calls `done` once. Publishing the same note again is safe.
     */
    tl::expected<void, std::vector<note::Fault>> publish(std::string_view text, PublishDone done);

    /** Response to `GET` or `POST /notes` of another daemon; nullopt for other targets. */
    std::optional<net::HttpResponse> handleControlRequest(const net::HttpRequest &request);

    /** Outcome of a release note; nullopt when it is not in the folded state of this daemon. */
    std::optional<note::Outcome> outcome(const std::string &noteId) const;

    /** The folded state; null before the first one. Valid until the reactor's next event. */
    const note::State *state() const;

    /** Revision in force at this daemon; 0 also before the first configuration. */
    model::Revision revision() const;

    /** Whether a configuration is in force. Without one every request is answered `not-run`. */
    bool hasConfig() const;

    SyncStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace notesync
