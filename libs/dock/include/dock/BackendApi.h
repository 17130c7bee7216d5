#pragma once

#include <optional>

#include <net/HttpRequest.h>
#include <net/HttpResponse.h>

namespace dock {

class Entry;
class Executor;

/** Requests below /.fuchsiadock/ on the data port: the backend server's reports, and keys. */
class BackendApi
{
public:
    BackendApi(Executor &executor, Entry &entry, std::string backendHost);

    /** Answers a request of this interface; nothing for requests to services. */
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
