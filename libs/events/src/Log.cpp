#include <events/Log.h>

// easylogging++ causes warnings of newer compilers when inlined.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#include <easylogging++.h>
#pragma GCC diagnostic pop

namespace events {

namespace {

void enableLevels(el::Configurations &configuration, std::string_view level)
{
    const auto enable = [&configuration](el::Level elLevel, bool isEnabled) {
        configuration.set(elLevel, el::ConfigurationType::Enabled, isEnabled ? "true" : "false");
    };
    enable(el::Level::Debug, level == "debug");
    enable(el::Level::Info, level == "debug" || level == "info");
    enable(el::Level::Warning, level != "error");
}

} // namespace

void setUpLog(std::string_view level, std::string_view daemonId)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " + std::string(daemonId)
                                      + " %msg");
    enableLevels(configuration, level);
    el::Loggers::reconfigureAllLoggers(configuration);
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
    return el::Loggers::getLogger(el::base::consts::kDefaultLoggerId)->enabled(elLevel);
}

void log(const Event &event, const std::string &detail)
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

} // namespace events
