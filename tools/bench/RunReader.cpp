#include <RunReader.h>

#include <utility>

#include <Json.h>
#include <net/Reactor.h>

namespace bench {

namespace {

constexpr base::Millis readTimeout(2000);
constexpr base::Millis retryInterval(1000);
constexpr int maxAttempts = 8;

} // namespace

RunReader::RunReader(net::Reactor &reactor, net::HttpClient &client)
    : reactor_(reactor)
    , client_(client)
{}

void RunReader::read(const model::Address &backend, std::function<void()> done)
{
    attempt(backend, 1, std::move(done));
}

void RunReader::attempt(const model::Address &backend, int number, std::function<void()> done)
{
    const auto onAnswer = [this, backend, number, done](const net::CallResult &result) {
        if (add(result)) {
            done();
        } else if (number < maxAttempts) {
            reactor_.schedule(retryInterval, [this, backend, number, done] {
                attempt(backend, number + 1, done);
            });
        } else {
            ++unreadInstances_;
            done();
        }
    };
    client_.send(backend, {"GET", "/runs", {}, ""}, readTimeout, onAnswer);
}

bool RunReader::add(const net::CallResult &result)
{
    const nlohmann::json runs = result ? parseJson(result->body_) : nlohmann::json();
    if (!runs.is_object()) {
        return false;
    }
    for (const auto &[id, count] : runs.items()) {
        runs_[id] += count.get<std::uint32_t>();
    }
    return true;
}

} // namespace bench
