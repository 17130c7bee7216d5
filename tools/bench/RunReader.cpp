#include <RunReader.h>

#include <utility>

#include <Json.h>

namespace bench {

namespace {

constexpr base::Millis readTimeout(5000);

} // namespace

RunReader::RunReader(net::HttpClient &client)
    : client_(client)
{}

void RunReader::read(const model::Address &backend, std::function<void()> done)
{
    client_.send(backend, {"GET", "/runs", {}, ""}, readTimeout,
                 [this, done = std::move(done)](const net::CallResult &result) {
                     add(result);
                     done();
                 });
}

void RunReader::add(const net::CallResult &result)
{
    const nlohmann::json runs = result ? parseJson(result->body_) : nlohmann::json();
    if (!runs.is_object()) {
        ++unread_;
        return;
    }
    for (const auto &[id, count] : runs.items()) {
        runs_[id] += count.get<std::uint32_t>();
    }
}

} // namespace bench
