#pragma once

#include <memory>

#include <base/Millis.h>
#include <logclient/LogClient.h>
#include <model/Address.h>
#include <net/HttpClient.h>

namespace net {
class Reactor;
}

namespace logclient {

/**
 * Log over HTTP: `POST /streams/S` returns `{"offset":N}`; `GET /streams/S?from=N&max=M` returns
 * `{"records":[{"offset":N,"data":"text"}],"first":F,"next":X}`, or 410 with first and next when
 * the records are trimmed.
 */
class HttpLogClient : public LogClient
{
public:
    HttpLogClient(net::Reactor &reactor, model::Address log, base::Millis timeout);
    ~HttpLogClient() override;

    void append(const std::string &stream, std::string data, AppendDone done) override;
    void read(const std::string &stream, std::uint64_t from, std::size_t max,
              ReadDone done) override;

private:
    net::HttpClient client_;
    const model::Address log_;
    const base::Millis timeout_;
};

/** Result of an append from its HTTP response. Exposed for tests. */
AppendResult parseAppendResponse(const net::CallResult &response);

/** Result of a read from offset `from`, from its HTTP response. Exposed for tests. */
ReadResult parseReadResponse(const net::CallResult &response, std::uint64_t from);

} // namespace logclient
