#include "DaemonCommand.h"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <optional>

#include <malloc.h>

#include <cxxopts.hpp>
#include <dock/Daemon.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <platform/Binding.h>
#include <settings/Environment.h>
#include <settings/Loader.h>

namespace fuchsiadock {

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

/**
 * Blocks of at least this size are mapped separately and returned to the system when freed, so that
 * large messages do not fragment the heap. Setting it keeps the allocator from raising its
 * threshold dynamically, up to 32 MiB.
 */
constexpr int mmapThresholdBytes = 64 * 1024;

/**
 * Free memory kept at the top of the heap: the allocator's initial value, set explicitly because
 * the allocator would otherwise raise it dynamically.
 */
constexpr int trimThresholdBytes = 128 * 1024;

/** Interval of checks for further signals while the daemon drains. */
constexpr long drainPollNanos = 50'000'000;

/** Interval of checks whether the settings file has changed without a SIGHUP. */
constexpr time_t settingsCheckSeconds = 5;

/** How long the end of the process waits for the reader of its log. */
constexpr base::Millis lastLinesTimeout(200);

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/** Waits for the end of the drain; false when SIGINT ends it at once. */
bool waitForDrain(std::future<void> &ended, const sigset_t &signals)
{
    const timespec pollInterval = {0, drainPollNanos};
    while (ended.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        const auto signal = sigtimedwait(&signals, nullptr, &pollInterval);
        events::flushLog();
        if (signal > 0)
            events::log(events::signalInDrain, std::string("signal=") + ::strsignal(signal));
        if (signal == SIGINT)
            return false;
    }
    return true;
}

void printFaults(const std::vector<settings::Fault> &faults)
{
    for (const auto &fault : faults)
        std::cerr << fault.text() << "\n";
}

/** Reads the settings file, and what the environment replaces of it. */
settings::LoadResult loadSettings(const std::string &file)
{
    auto loaded = settings::loadFile(file);
    if (!loaded)
        return loaded;
    if (auto fault = settings::applyEnvironment(*loaded,
                                                [](const char *name) { return std::getenv(name); }))
        return tl::unexpected(std::vector<settings::Fault>{std::move(*fault)});
    return loaded;
}

/**
 * Reads the settings file again. A changed log level applies at once, all other changes at the next
 * start.
 */
void reload(const settings::Settings &settings, const std::string &file)
{
    const auto loaded = loadSettings(file);
    if (!loaded) {
        for (const auto &fault : loaded.error())
            events::log(events::settingsRefused, fault.text());
        return;
    }
    if (loaded->logLevel_ != settings.logLevel_)
        events::setUpLog(loaded->logLevel_, settings.id_);
    events::log(events::settingsRead, *loaded == settings ? "unchanged" : "changed");
}

/** Modification time of the file; nullopt if it cannot be read. */
std::optional<std::filesystem::file_time_type> modificationTime(const std::string &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::nullopt : std::optional(time);
}

/** Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP and when their file has changed. */
void waitForTermination(const settings::Settings &settings, const std::string &file,
                        const sigset_t &signals)
{
    const timespec checkInterval = {settingsCheckSeconds, 0};
    auto lastModified = modificationTime(file);
    while (true) {
        const auto signal = sigtimedwait(&signals, nullptr, &checkInterval);
        events::flushLog();
        if (signal > 0 && signal != SIGHUP)
            return;
        const auto now = modificationTime(file);
        if (signal == SIGHUP || (now && now != lastModified))
            reload(settings, file);
        lastModified = now ? now : lastModified;
    }
}

int serve(const settings::Settings &settings, const std::string &file)
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
    events::setUpLog(settings.logLevel_, settings.id_);
    // Blocked before any thread starts, so that only this thread receives them.
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    std::optional<dock::PlatformBinding> binding;
    if (settings.platform_)
        binding = platform::bindingFor(*settings.platform_);
    dock::Daemon daemon(settings, std::move(binding));
    if (const auto started = daemon.start(); !started) {
        events::log(events::startFailed, started.error().message_);
        events::finishLog(lastLinesTimeout);
        return exitFailed;
    }
    events::log(events::started,
                "data=" + settings.dataAddress_.text() + " peer=" + settings.peerAddress_.text()
                        + " control=" + settings.controlAddress_.text()
                        + " admin=" + settings.adminAddress_.text()
                        + " drainTimeout=" + std::to_string(settings.drainTimeout_.count()) + "ms");
    auto ended = daemon.ended();
    waitForTermination(settings, file, signals);
    daemon.beginDrain();
    const bool isDrained = waitForDrain(ended, signals);
    events::finishLog(lastLinesTimeout);
    return isDrained ? exitOk : exitFailed;
}

} // namespace

int runDaemon(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock daemon", "Runs the daemon beside one backend server.\n"
                                                   "SIGTERM drains it; SIGINT after that ends it "
                                                   "at once. SIGHUP reads the settings again.\n");
    options.add_options()("settings", "settings file (YAML)", cxxopts::value<std::string>(),
                          "FILE")("help", "show this help");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "fuchsiadock daemon: --settings FILE is needed\n";
            return exitUsage;
        }
        const auto file = arguments["settings"].as<std::string>();
        const auto loaded = loadSettings(file);
        if (!loaded) {
            printFaults(loaded.error());
            return exitUsage;
        }
        return serve(*loaded, file);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "fuchsiadock daemon: " << error.what() << "\n";
        return exitUsage;
    }
}

} // namespace fuchsiadock
