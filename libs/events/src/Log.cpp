#include <events/Log.h>

#include <mutex>
#include <utility>

#include <unistd.h>

// easylogging++ causes warnings of newer compilers when inlined.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#include <easylogging++.h>
#pragma GCC diagnostic pop

#include <details/LineWriter.h>
#include <events/Catalogue.h>

namespace events {

namespace {

/** A reader of the log that stops for longer loses lines; some thousand lines fit. */
constexpr std::size_t maxPendingBytes = std::size_t{256} * 1024;

/** Guards the writer, and keeps the report on dropped lines next to them. */
std::mutex &mutex()
{
    static std::mutex instance;
    return instance;
}

details::LineWriter &writer()
{
    static details::LineWriter instance(STDOUT_FILENO, maxPendingBytes);
    return instance;
}

/** Hands the lines of easylogging++ to the writer, instead of writing them to std::cout. */
class Dispatcher : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const auto *message = data->logMessage();
        writer().write(message->logger()->logBuilder()->build(message, true));
    }
};

void enableLevels(el::Configurations &configuration, std::string_view level)
{
    const auto enable = [&configuration](el::Level elLevel, bool isEnabled) {
        configuration.set(elLevel, el::ConfigurationType::Enabled, isEnabled ? "true" : "false");
    };
    enable(el::Level::Debug, level == "debug");
    enable(el::Level::Info, level == "debug" || level == "info");
    enable(el::Level::Warning, level != "error");
}

void emit(const Event &event, const std::string &detail)
{
    const auto line = "E" + std::to_string(event.number_) + " " + event.name_ + " " + detail;
    switch (event.severity_) {
    case Severity::Debug:
        LOG(DEBUG) << line;
        break;
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

void reportDropped()
{
    if (const auto dropped = writer().takeDropped(); dropped > 0)
        emit(events::logLinesDropped, "lines=" + std::to_string(dropped));
}

} // namespace

void setUpLog(std::string_view level, std::string_view daemonId)
{
    const std::scoped_lock lock(mutex());
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + std::string(daemonId)
                                      + " %msg");
    enableLevels(configuration, level);
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
            "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<Dispatcher>("events");
}

bool isLogged(const Event &event)
{
    const auto elLevel = [&event] {
        switch (event.severity_) {
        case Severity::Debug:
            return el::Level::Debug;
        case Severity::Info:
            return el::Level::Info;
        case Severity::Warning:
            return el::Level::Warning;
        case Severity::Error:
            break;
        }
        return el::Level::Error;
    }();
    const std::scoped_lock lock(mutex());
    return el::Loggers::getLogger(el::base::consts::kDefaultLoggerId)->enabled(elLevel);
}

void log(const Event &event, const std::string &detail)
{
    const std::scoped_lock lock(mutex());
    reportDropped();
    emit(event, detail);
}

void flushLog()
{
    const std::scoped_lock lock(mutex());
    writer().flush();
    reportDropped();
}

void finishLog(base::Millis time)
{
    const std::scoped_lock lock(mutex());
    writer().flushWithin(time);
    reportDropped();
}

} // namespace events
