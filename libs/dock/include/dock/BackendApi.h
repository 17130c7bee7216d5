#pragma once

#include <optional>

#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace dock {

class Entry;
class Executor;

/**
 * Serves requests below /.fuchsiadock/ on the data port: registration and load reports of the local
 * backend server, and the issue of idempotency keys.
 */
class BackendApi
{
public:
    BackendApi(Executor &executor, Entry &entry, std::string backendHost);

    /** Answers a request below /.fuchsiadock/; nothing for requests to services. */
    std::optional<net::HttpResponse> answer(const net::HttpRequest &request);

private:
    net::HttpResponse announce(const net::HttpRequest &request);
    net::HttpResponse reportLoad(const net::HttpRequest &request);
    net::HttpResponse issueKeys(const net::HttpRequest &request);

    Executor &executor_;
    Entry &entry_;
    std::string backendHost_;
};

} // namespace dock
