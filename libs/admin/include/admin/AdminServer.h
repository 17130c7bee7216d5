#pragma once

#include <cstdint>
#include <memory>

#include <admin/AdminOptions.h>
#include <admin/AdminSources.h>
#include <base/Error.h>

namespace net {
class Reactor;
}

namespace notesync {
class NoteService;
}

namespace admin {

/**
 * Administration API over HTTP: release notes, members, status, metrics and histograms.
 *
 * Every request needs the access token. To be called on the reactor's thread only.
 */
class AdminServer
{
public:
    /**
     * Starts listening; fails with "no-token" without a token and "listen-failed" when the address
     * cannot be bound. The notes must outlive the server.
     */
    static base::Result<std::unique_ptr<AdminServer>> start(net::Reactor &reactor,
                                                            const AdminOptions &options,
                                                            notesync::NoteService &notes,
                                                            AdminSources sources);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /** The bound port, also when port 0 was requested. */
    std::uint16_t port() const;

private:
    struct Impl;
    explicit AdminServer(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> impl_;
};

} // namespace admin
