#include "config/ini_reader.h"
#include "config/settings.h"
#include "dispatcher/daemon.h"
#include "dispatcher/fleet_daemon.h"
#include "dispatcher/logging.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <utility>

#include <malloc.h>

using namespace clementinelift;

namespace {

constexpr char usage[] = R"(clementinelift - dispatcher for sub-second tasks, one process on each entry VM

Usage:
  clementinelift --config FILE
  clementinelift --check FILE
  clementinelift --platform [--settings FILE] [--metrics-port PORT]
  clementinelift --platform --check-settings FILE
  clementinelift --help
  clementinelift --version

Options:
  --config FILE  Run with the settings in this INI file, in the foreground.
  --check FILE   Check the settings, print one line for each finding, and exit.
  --platform     Run on the users' platform: settings, store, backend servers and callers speak its protocol.
  --settings FILE  The platform's settings (JSON). Standard: the file that CLEMENTINELIFT_BOOT names, else
                 /etc/clementinelift/boot.json.
  --metrics-port PORT  Serve counters and histograms at this port of the VM's address; 0: nowhere. [default: 0]
  --check-settings FILE  Check the platform's settings, print one line for each finding, and exit.
  -h --help      Show this page.
  --version      Show the version.

Description:
  Takes jobs from callers over HTTP and runs their tasks on backend servers. Settings are read once; templates and
  parameters of organisations come from the platform's log service and are published with clementinelift-ctl.
  Log lines go to standard error, metrics and state to /metrics and /status of the caller address.

Signals:
  SIGTERM, SIGINT  Drain: take no new keys, let running jobs end, deliver their answers, exit.
  SIGHUP           With --platform: read the settings again and report what is wrong with them.

Exit status:
  0  stopped gracefully, or no findings
  1  findings in the settings, or an address cannot be used
  2  wrong usage
)";

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr timespec pollInterval{0, 50 * 1000 * 1000};

core::NoticeLevel toNoticeLevel(config::LogLevel level)
{
    return static_cast<core::NoticeLevel>(level);
}
static_assert(static_cast<int>(config::LogLevel::Debug) == static_cast<int>(core::NoticeLevel::Debug));
static_assert(static_cast<int>(config::LogLevel::Error) == static_cast<int>(core::NoticeLevel::Error));

int printFindings(const core::Findings &findings)
{
    for (const core::Finding &finding : findings)
        std::cerr << config::toString(finding) << '\n';
    return exitFailure;
}

// Called before any thread starts: all threads inherit the mask, so only sigtimedwait() receives the signals.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const config::ProcessSettings &settings, const sigset_t &signals)
{
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection fails with EPIPE instead of ending the process
    dispatcher::initLogging(toNoticeLevel(settings.logLevel));
    const auto daemon = dispatcher::Daemon::start(settings);
    if (!daemon) {
        dispatcher::log(core::NoticeLevel::Error, "process", "cannot start detail=" + daemon.error());
        return exitFailure;
    }
    while (!(*daemon)->isDrained()) {
        const int signal = sigtimedwait(&signals, nullptr, &pollInterval);
        if (signal == SIGHUP)
            dispatcher::log(core::NoticeLevel::Info, "process",
                            "settings cannot be reloaded; they are read at the start only");
        else if (signal > 0)
            (*daemon)->drain();
    }
    return 0;
}

std::string findPlatformSettings(const docopt::value &argument)
{
    if (argument.isString())
        return argument.asString();
    const char *named = std::getenv(platform::settingsPathVariable);
    return named != nullptr ? named : platform::defaultSettingsFile;
}

// Reloads the settings of a running process. Invalid settings are logged and the previous ones stay in force.
void reload(dispatcher::FleetDaemon &daemon, const std::string &file)
{
    const auto settings = platform::readPlatformSettings(file);
    if (settings) {
        dispatcher::log(core::NoticeLevel::Info, "process", "settings reloaded without findings file=" + file);
        daemon.reload(*settings);
        return;
    }
    for (const core::Finding &finding : settings.error())
        dispatcher::log(core::NoticeLevel::Warning, "process",
                        "settings not usable, the old ones stay finding=" + config::toString(finding));
}

// The settings file is polled because it may be replaced without a SIGHUP.
std::filesystem::file_time_type changeTime(const std::string &file)
{
    std::error_code error; // a missing file yields the minimum time, which counts as unchanged
    return std::filesystem::last_write_time(file, error);
}

int runPlatform(const std::string &file, std::uint16_t metricsPort, const sigset_t &signals)
{
    constexpr timespec idleInterval{1, 0}; // also the polling interval of the settings file
    std::signal(SIGPIPE, SIG_IGN); // a write to a closed connection fails with EPIPE instead of ending the process
    const auto settings = platform::readPlatformSettings(file);
    if (!settings)
        return printFindings(settings.error());
    dispatcher::initOutputLogging(core::NoticeLevel::Info);
    {
        const auto daemon = dispatcher::FleetDaemon::start(*settings, metricsPort);
        if (!daemon) {
            dispatcher::log(core::NoticeLevel::Error, "process", "cannot start detail=" + daemon.error());
            dispatcher::stopLogging();
            return exitFailure;
        }
        bool isDraining = false;
        auto readAt = changeTime(file);
        while (!(*daemon)->isDrained()) {
            const int signal = sigtimedwait(&signals, nullptr, isDraining ? &pollInterval : &idleInterval);
            const auto changedAt = changeTime(file);
            if (signal == SIGHUP || changedAt > readAt) {
                readAt = changedAt;
                reload(**daemon, file);
            } else if (signal > 0 && !std::exchange(isDraining, true)) {
                (*daemon)->drain();
            }
        }
    }
    dispatcher::stopLogging();
    return 0;
}

// By default, glibc keeps freed memory apart for each thread, and raises the size from which blocks are returned to the
// system to that of the largest block. With bodies of several MB on many threads both exceed the memory in use by far.
void limitFreedMemory()
{
    constexpr int maxArenas = 2;
    constexpr int mmapThresholdBytes = 256 << 10;
    mallopt(M_ARENA_MAX, maxArenas);
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, 2 * mmapThresholdBytes);
}

} // namespace

int main(int argc, char **argv)
{
    limitFreedMemory();
    const sigset_t signals = blockSignals(); // before all else: a signal during startup must not end the process
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "clementinelift " CLEMENTINELIFT_VERSION "\n";
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\nclementinelift --help shows the usage\n";
        return exitUsage;
    }
    if (arguments["--platform"].asBool()) {
        if (arguments["--check-settings"].isString()) {
            const auto settings = platform::readPlatformSettings(arguments["--check-settings"].asString());
            if (!settings)
                return printFindings(settings.error());
            std::cout << arguments["--check-settings"].asString() << ": no findings\n";
            return 0;
        }
        return runPlatform(findPlatformSettings(arguments["--settings"]),
                           static_cast<std::uint16_t>(arguments["--metrics-port"].asLong()), signals);
    }
    const bool checkOnly = arguments["--check"].isString();
    const auto settings = config::readSettings(arguments[checkOnly ? "--check" : "--config"].asString());
    if (!settings)
        return printFindings(settings.error());
    if (checkOnly) {
        std::cout << arguments["--check"].asString() << ": no findings\n";
        return 0;
    }
    return run(*settings, signals);
}
