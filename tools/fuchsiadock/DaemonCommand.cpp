#include "DaemonCommand.h"

#include <csignal>
#include <filesystem>
#include <iostream>
#include <optional>

#include <malloc.h>

#include <cxxopts.hpp>
#include <dock/Daemon.h>
#include <events/Catalogue.h>
#include <events/Log.h>
#include <platform/Binding.h>
#include <settings/Loader.h>

namespace fuchsiadock {

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

/**
 * Blocks from this size on are mapped one by one and go back to the system when freed, so that
 * large messages leave no gaps in the heap. Without it the allocator raises its own bound up to 32
 * MiB.
 */
constexpr int mappedBlockBytes = 64 * 1024;

/** Free memory at the end of the heap that is kept; the allocator's own first value, else it grows.
 */
constexpr int mostUnusedBytes = 128 * 1024;

/** How often a second signal is looked for while the daemon drains, in nanoseconds. */
constexpr long drainPollNanos = 50'000'000;

/** How often the settings file is looked at for a change that no signal told of, in seconds. */
constexpr time_t settingsCheckSeconds = 5;

sigset_t endSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/** Waits for the end of the drain; false when a second signal asks to end at once. */
bool waitForDrain(std::future<void> &ended, const sigset_t &signals)
{
    const timespec pollTime = {0, drainPollNanos};
    while (ended.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        const auto signal = sigtimedwait(&signals, nullptr, &pollTime);
        if (signal > 0 && signal != SIGHUP)
            return false;
    }
    return true;
}

void printFaults(const std::vector<settings::Fault> &faults)
{
    for (const auto &fault : faults)
        std::cerr << fault.text() << "\n";
}

/** Reads the settings file again; what differs takes effect with the next start. */
void reload(const settings::Settings &settings, const std::string &file)
{
    const auto loaded = settings::loadFile(file);
    if (!loaded) {
        for (const auto &fault : loaded.error())
            events::log(events::settingsRefused, fault.text());
        return;
    }
    if (loaded->logLevel_ != settings.logLevel_)
        events::setUpLog(loaded->logLevel_, settings.id_);
    events::log(events::settingsRead, *loaded == settings ? "unchanged" : "changed");
}

/** When the file was changed last, or nothing if it cannot be looked at. */
std::optional<std::filesystem::file_time_type> changeTime(const std::string &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::nullopt : std::optional(time);
}

/** Waits for a signal to end; reads the settings on SIGHUP and when their file has changed. */
void waitForEnd(const settings::Settings &settings, const std::string &file,
                const sigset_t &signals)
{
    const timespec checkTime = {settingsCheckSeconds, 0};
    auto known = changeTime(file);
    while (true) {
        const auto signal = sigtimedwait(&signals, nullptr, &checkTime);
        if (signal > 0 && signal != SIGHUP)
            return;
        const auto now = changeTime(file);
        if (signal == SIGHUP || (now && now != known))
            reload(settings, file);
        known = now ? now : known;
    }
}

int serve(const settings::Settings &settings, const std::string &file)
{
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    mallopt(M_TRIM_THRESHOLD, mostUnusedBytes);
    events::setUpLog(settings.logLevel_, settings.id_);
    // Blocked before any thread starts, so that only this thread receives them.
    const auto signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    std::optional<dock::PlatformBinding> binding;
    if (settings.platform_)
        binding = platform::bindingFor(*settings.platform_);
    dock::Daemon daemon(settings, std::move(binding));
    if (const auto started = daemon.start(); !started) {
        events::log(events::startFailed, started.error().message_);
        return exitFailed;
    }
    events::log(events::started, "data=" + settings.dataAddress_.text()
                                         + " peer=" + settings.peerAddress_.text()
                                         + " control=" + settings.controlAddress_.text()
                                         + " admin=" + settings.adminAddress_.text());
    auto ended = daemon.ended();
    waitForEnd(settings, file, signals);
    daemon.beginDrain();
    return waitForDrain(ended, signals) ? exitOk : exitFailed;
}

} // namespace

int runDaemon(int argc, char **argv)
{
    cxxopts::Options options("fuchsiadock daemon", "Runs the daemon beside one backend server.\n"
                                                   "SIGTERM drains it; a second one ends it at "
                                                   "once. SIGHUP reads the settings again.\n");
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
        const auto loaded = settings::loadFile(file);
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
