#include <net/HttpClient.h>

#include <cassert>
#include <optional>
#include <unordered_map>
#include <vector>

#include <ace/Event_Handler.h>
#include <curl/curl.h>
#include <net/Reactor.h>

#include "details/Silence.h"

namespace net {

namespace {

constexpr long firstSuccess = 200;
constexpr long lastSuccess = 299;

constexpr std::int64_t millisPerSecond = 1000;

/** Connections kept open when idle. */
constexpr long maxIdleConnections = 1024;

struct Call
{
    CallId id_ = 0;
    CURL *easy_ = nullptr;
    curl_slist *headerList_ = nullptr;
    HttpRequest request_;
    HttpResponse response_;
    const HttpClientOptions *options_ = nullptr;
    std::string expectedEcho_;        ///< value of the field that the answer has to repeat
    std::optional<std::string> echo_; ///< what the answer repeats
    int sendCount_ = 0;
    bool isStatusLineNext_ = true;
    CallDone done_;
};

/** Whether the header block that has just ended is the answer to this call. */
bool isOwnAnswer(const Call &call)
{
    if (call.expectedEcho_.empty() || call.echo_ == call.expectedEcho_)
        return true;
    long status = 0;
    curl_easy_getinfo(call.easy_, CURLINFO_RESPONSE_CODE, &status);
    // Interim answers and refusals need not repeat the field.
    return !call.echo_ && (status < firstSuccess || status > lastSuccess);
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user)
{
    auto &call = *static_cast<Call *>(user);
    std::string_view line(data, size);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
        line.remove_suffix(1);
    if (call.isStatusLineNext_) {
        call.response_.headers_.clear();
        call.echo_.reset();
        call.isStatusLineNext_ = false;
        return size;
    }
    if (line.empty()) {
        // A further header block follows an interim answer (1xx).
        call.isStatusLineNext_ = true;
        return isOwnAnswer(call) ? size : 0;
    }
    if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        const auto name = line.substr(0, colon);
        if (equalsIgnoringCase(name, call.options_->echoedField_))
            call.echo_ = value;
        call.response_.headers_.push_back({std::string(name), std::string(value)});
    }
    return size;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    auto &call = *static_cast<Call *>(user);
    if (call.response_.body_.size() + size > call.options_->maxBodyBytes_)
        return 0;
    call.response_.body_.append(data, size);
    return size;
}

// libcurl sends a request again when a kept-alive connection turns out to be closed. The other
// side may have run it, so the second attempt is refused here.
int onBeforeSend(void *user, char *, char *, int, int)
{
    auto &call = *static_cast<Call *>(user);
    ++call.sendCount_;
    return call.sendCount_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

int onSocket(void *, curl_socket_t socket, curlsocktype)
{
    details::closeWhenSilent(socket);
    return CURL_SOCKOPT_OK;
}

Failure failureOf(const Call &call, CURLcode code)
{
    Failure failure;
    failure.detail_ = curl_easy_strerror(code);
    if (call.sendCount_ == 0)
        failure.kind_ = FailureKind::NotSent;
    else if (code == CURLE_OPERATION_TIMEDOUT)
        failure.kind_ = FailureKind::TimedOut;
    return failure;
}

bool hasBody(const HttpRequest &request)
{
    return !request.body_.empty() || request.method_ == "POST" || request.method_ == "PUT"
           || request.method_ == "PATCH";
}

curl_slist *headerList(const HttpRequest &request)
{
    curl_slist *list = nullptr;
    for (const auto &[name, value] : request.headers_) {
        const auto line = value.empty() ? name + ";" : name + ": " + value;
        list = curl_slist_append(list, line.c_str());
    }
    // Without these lines libcurl would add fields that the caller did not send.
    for (const auto *name : {"Accept", "Content-Type", "Expect"}) {
        if (headerValue(request.headers_, name).empty())
            list = curl_slist_append(list, (std::string(name) + ":").c_str());
    }
    return list;
}

} // namespace

struct HttpClient::Impl : ACE_Event_Handler
{
    Impl(Reactor &reactor, const HttpClientOptions &options)
        : reactor_(reactor)
        , options_(options)
    {}

    Reactor &reactor_;
    const HttpClientOptions options_;
    CURLM *multi_ = nullptr;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
    std::vector<CURL *> spare_;
    CallId nextId_ = 1;
    TimerId timer_ = 0;
    bool isCollectPending_ = false;

    int handle_input(ACE_HANDLE socket) override;
    int handle_output(ACE_HANDLE socket) override;
    void act(curl_socket_t socket, int events);
    void collectSoon();
    void collect();
    void setUp(Call &call, const model::Address &to, base::Millis timeout);
    void release(Call &call);

    static int socketChanged(CURL *easy, curl_socket_t socket, int what, void *self, void *);
    static int timerChanged(CURLM *multi, long timeoutMs, void *self);
};

int HttpClient::Impl::handle_input(ACE_HANDLE socket)
{
    act(socket, CURL_CSELECT_IN);
    return 0;
}

int HttpClient::Impl::handle_output(ACE_HANDLE socket)
{
    act(socket, CURL_CSELECT_OUT);
    return 0;
}

void HttpClient::Impl::act(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(multi_, socket, events, &running);
    collect();
}

void HttpClient::Impl::collectSoon()
{
    if (isCollectPending_)
        return;
    isCollectPending_ = true;
    reactor_.post([this] {
        isCollectPending_ = false;
        act(CURL_SOCKET_TIMEOUT, 0);
    });
}

void HttpClient::Impl::collect()
{
    int left = 0;
    while (auto *message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const auto code = message->data.result;
        auto *easy = message->easy_handle;
        char *user = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
        const auto found = calls_.find(reinterpret_cast<Call *>(user)->id_);
        assert(found != calls_.end());
        const auto call = std::move(found->second);
        calls_.erase(found);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        release(*call);
        if (code == CURLE_OK) {
            call->response_.status_ = static_cast<int>(status);
            call->done_(std::move(call->response_));
        } else {
            call->done_(tl::unexpected<Failure>(failureOf(*call, code)));
        }
    }
}

void HttpClient::Impl::release(Call &call)
{
    curl_multi_remove_handle(multi_, call.easy_);
    curl_slist_free_all(call.headerList_);
    call.headerList_ = nullptr;
    curl_easy_reset(call.easy_);
    spare_.push_back(call.easy_);
    call.easy_ = nullptr;
}

void HttpClient::Impl::setUp(Call &call, const model::Address &to, base::Millis timeout)
{
    auto *easy = call.easy_;
    const auto &request = call.request_;
    const auto url = "http://" + to.text() + request.target_;
    call.headerList_ = headerList(request);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headerList_);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, timeout.count()));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(options_.maxIdle_.count() / millisPerSecond));
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, onSocket);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
    if (request.method_ == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (hasBody(request)) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body_.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body_.data());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
    } else {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
    }
}

int HttpClient::Impl::socketChanged(CURL *, curl_socket_t socket, int what, void *self, void *)
{
    auto &impl = *static_cast<Impl *>(self);
    if (what == CURL_POLL_REMOVE) {
        impl.reactor_.unwatch(socket);
        return 0;
    }
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if ((what & CURL_POLL_IN) != 0)
        mask |= ACE_Event_Handler::READ_MASK;
    if ((what & CURL_POLL_OUT) != 0)
        mask |= ACE_Event_Handler::WRITE_MASK;
    if (mask == ACE_Event_Handler::NULL_MASK)
        impl.reactor_.unwatch(socket);
    else
        impl.reactor_.watch(socket, impl, mask);
    return 0;
}

int HttpClient::Impl::timerChanged(CURLM *, long timeoutMs, void *self)
{
    auto &impl = *static_cast<Impl *>(self);
    impl.reactor_.cancel(impl.timer_);
    impl.timer_ = 0;
    if (timeoutMs == 0)
        impl.collectSoon();
    else if (timeoutMs > 0)
        impl.timer_ = impl.reactor_.schedule(base::Millis(timeoutMs),
                                             [&impl] { impl.act(CURL_SOCKET_TIMEOUT, 0); });
    return 0;
}

HttpClient::HttpClient(Reactor &reactor, const HttpClientOptions &options)
    : impl_(std::make_unique<Impl>(reactor, options))
{
    static const auto globalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
    assert(globalInit == CURLE_OK);
    impl_->multi_ = curl_multi_init();
    curl_multi_setopt(impl_->multi_, CURLMOPT_SOCKETFUNCTION, &Impl::socketChanged);
    curl_multi_setopt(impl_->multi_, CURLMOPT_SOCKETDATA, impl_.get());
    curl_multi_setopt(impl_->multi_, CURLMOPT_TIMERFUNCTION, &Impl::timerChanged);
    curl_multi_setopt(impl_->multi_, CURLMOPT_TIMERDATA, impl_.get());
    curl_multi_setopt(impl_->multi_, CURLMOPT_MAXCONNECTS, maxIdleConnections);
    curl_multi_setopt(impl_->multi_, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
}

HttpClient::~HttpClient()
{
    for (const auto &[id, call] : impl_->calls_)
        impl_->release(*call);
    impl_->calls_.clear();
    for (auto *easy : impl_->spare_)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(impl_->multi_);
    impl_->reactor_.cancel(impl_->timer_);
}

CallId HttpClient::send(const model::Address &to, HttpRequest request, base::Millis timeout,
                        CallDone done)
{
    auto call = std::make_unique<Call>();
    const auto id = impl_->nextId_++;
    call->id_ = id;
    call->request_ = std::move(request);
    call->options_ = &impl_->options_;
    if (!impl_->options_.echoedField_.empty())
        call->expectedEcho_ = headerValue(call->request_.headers_, impl_->options_.echoedField_);
    call->done_ = std::move(done);
    if (impl_->spare_.empty()) {
        call->easy_ = curl_easy_init();
    } else {
        call->easy_ = impl_->spare_.back();
        impl_->spare_.pop_back();
    }
    impl_->setUp(*call, to, timeout);
    auto *easy = call->easy_;
    impl_->calls_.emplace(id, std::move(call));
    curl_multi_add_handle(impl_->multi_, easy);
    return id;
}

void HttpClient::cancel(CallId id)
{
    const auto found = impl_->calls_.find(id);
    if (found == impl_->calls_.end())
        return;
    impl_->release(*found->second);
    impl_->calls_.erase(found);
}

} // namespace net
