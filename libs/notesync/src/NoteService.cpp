#include <notesync/NoteService.h>

#include <charconv>
#include <map>
#include <utility>

#include <base/Clock.h>
#include <base/Overloaded.h>
#include <logclient/LogClient.h>
#include <net/HttpClient.h>
#include <net/Reactor.h>
#include <note/Limits.h>
#include <note/Parse.h>
#include <notesync/NoteSync.h>

namespace notesync {

namespace {

constexpr base::Millis tickInterval(250);
constexpr base::Millis pullTimeout(3000);
constexpr base::Millis announceTimeout(2000);
constexpr std::size_t maxUpdateBytes = 2 * note::limits::recordBytes;
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr std::string_view notesPath = "/notes";

net::HttpResponse jsonResponse(int status, std::string body = "")
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

/** Value of a parameter in a query such as "next=4&digest=ab". */
std::string_view queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto entry = query.substr(0, end);
        if (entry.size() > name.size() && entry.starts_with(name) && entry[name.size()] == '=')
            return entry.substr(name.size() + 1);
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::optional<PullQuery> parseQuery(std::string_view query)
{
    const auto next = queryParameter(query, "next");
    PullQuery result{0, std::string(queryParameter(query, "digest"))};
    const auto [end, error] =
            std::from_chars(next.data(), next.data() + next.size(), result.nextOffset_);
    if (error != std::errc() || end != next.data() + next.size())
        return std::nullopt;
    return result;
}

std::optional<Update> updateFromResponse(const net::CallResult &result)
{
    if (!result || result->status_ != statusOk)
        return std::nullopt;
    auto update = decodeUpdate(result->body_);
    if (!update)
        return std::nullopt;
    return std::move(*update);
}

} // namespace

struct NoteService::Impl : std::enable_shared_from_this<NoteService::Impl>
{
    struct PendingPublish
    {
        std::string noteId_;
        PublishDone done_;
    };

    Impl(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log,
         const SyncOptions &options, ConfigHandler onConfig)
        : reactor_(reactor)
        , log_(std::move(log))
        , client_(reactor, {.maxBodyBytes_ = maxUpdateBytes})
        , stream_(options.stream_)
        , onConfig_(std::move(onConfig))
        , sync_(options, base::monotonicNow())
    {}

    void onTick()
    {
        timer_ = reactor_.schedule(tickInterval, [this] { onTick(); });
        handle(Tick{});
    }

    void handle(const Event &event)
    {
        for (const auto &command : sync_.handle(event, base::monotonicNow()))
            std::visit([this](const auto &c) { execute(c); }, command);
    }

    /** Wraps a callback so that it does nothing once the service is destroyed. */
    template<typename Function>
    auto guarded(Function function)
    {
        return [weak = weak_from_this(), function = std::move(function)](const auto &...values) {
            if (const auto self = weak.lock())
                function(*self, values...);
        };
    }

    void execute(const ReadLog &command)
    {
        log_->read(stream_, command.fromOffset_, command.maxRecords_,
                   guarded([](Impl &self, const logclient::ReadResult &result) {
                       self.handle(ReadCompleted{result});
                   }));
    }

    void execute(const AppendRecord &command)
    {
        log_->append(stream_, command.data_,
                     guarded([requestId = command.requestId_](
                                     Impl &self, const logclient::AppendResult &result) {
                         self.handle(AppendCompleted{requestId, result});
                     }));
    }

    void execute(const Pull &command)
    {
        net::HttpRequest request{"GET",
                                 std::string(notesPath)
                                         + "?next=" + std::to_string(command.query_.nextOffset_)
                                         + "&digest=" + command.query_.digest_,
                                 {},
                                 ""};
        client_.send(command.address_, std::move(request), pullTimeout,
                     guarded([peer = command.peerId_](Impl &self, const net::CallResult &result) {
                         self.handle(PullCompleted{peer, updateFromResponse(result)});
                     }));
    }

    void execute(const Announce &command)
    {
        net::HttpRequest request{
                "POST", std::string(notesPath), {}, encodeAnnouncement(command.announcement_)};
        client_.send(command.address_, std::move(request), announceTimeout,
                     [](const net::CallResult &) {});
    }

    void execute(const ApplyConfig &command)
    {
        reactor_.post(guarded([config = command.config_](Impl &self) { self.onConfig_(config); }));
    }

    void execute(const FinishPublish &command)
    {
        auto found = pendingPublishes_.extract(command.requestId_);
        if (found.empty())
            return;
        reactor_.post([entry = std::move(found.mapped()), result = command.result_] {
            entry.done_(entry.noteId_, result);
        });
    }

    net::HttpResponse handlePull(std::string_view query) const
    {
        const auto parsed = parseQuery(query);
        if (!parsed)
            return jsonResponse(statusBadRequest);
        const auto update = sync_.answerPull(*parsed);
        return update ? jsonResponse(statusOk, encodeUpdate(*update))
                      : jsonResponse(statusNotFound);
    }

    net::HttpResponse handleAnnouncement(const std::string &body)
    {
        auto announcement = decodeAnnouncement(body);
        if (!announcement)
            return jsonResponse(statusBadRequest);
        reactor_.post(guarded(
                [event = AnnouncementReceived{*announcement}](Impl &self) { self.handle(event); }));
        return jsonResponse(statusNoContent);
    }

    net::Reactor &reactor_;
    std::unique_ptr<logclient::LogClient> log_;
    net::HttpClient client_;
    const std::string stream_;
    ConfigHandler onConfig_;
    NoteSync sync_;
    net::TimerId timer_ = 0;
    RequestId lastRequestId_ = 0;
    std::map<RequestId, PendingPublish> pendingPublishes_;
};

NoteService::NoteService(net::Reactor &reactor, std::unique_ptr<logclient::LogClient> log,
                         const SyncOptions &options, ConfigHandler onConfig)
    : impl_(std::make_shared<Impl>(reactor, std::move(log), options, std::move(onConfig)))
{
    impl_->onTick();
}

NoteService::~NoteService()
{
    impl_->reactor_.cancel(impl_->timer_);
}

void NoteService::setMembers(std::shared_ptr<const std::vector<model::Member>> members)
{
    impl_->handle(MembersChanged{std::move(members)});
}

tl::expected<void, std::vector<note::Fault>> NoteService::publish(std::string_view text,
                                                                  PublishDone done)
{
    const auto note = note::parseNote(text, "note");
    if (!note)
        return tl::unexpected(note.error());
    const auto requestId = ++impl_->lastRequestId_;
    impl_->pendingPublishes_.emplace(requestId, Impl::PendingPublish{note->id_, std::move(done)});
    impl_->handle(PublishRequested{requestId, *note});
    return {};
}

std::optional<net::HttpResponse> NoteService::handleControlRequest(const net::HttpRequest &request)
{
    const std::string_view target = request.target_;
    const auto path = target.substr(0, target.find('?'));
    if (path != notesPath)
        return std::nullopt;
    if (request.method_ == "GET")
        return impl_->handlePull(target.substr(std::min(path.size() + 1, target.size())));
    if (request.method_ == "POST")
        return impl_->handleAnnouncement(request.body_);
    return jsonResponse(statusMethodNotAllowed);
}

std::optional<note::Outcome> NoteService::outcome(const std::string &noteId) const
{
    const auto *currentState = state();
    if (currentState == nullptr)
        return std::nullopt;
    const auto it = currentState->outcomes_.find(noteId);
    return it == currentState->outcomes_.end() ? std::nullopt : std::optional(it->second);
}

const note::State *NoteService::state() const
{
    return impl_->sync_.state();
}

model::Revision NoteService::revision() const
{
    return impl_->sync_.status().revision_;
}

bool NoteService::hasConfig() const
{
    return impl_->sync_.hasConfig();
}

SyncStatus NoteService::status() const
{
    return impl_->sync_.status();
}

} // namespace notesync
