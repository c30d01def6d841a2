// Command line of clementinelift-standins, see docs/standins.md.
#include "standins/load.h"
#include "standins/platform.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace clementinelift::standins;

constexpr char usage[] = R"(Simulated services and callers for tests of clementinelift.

Usage:
  clementinelift-standins serve [options]
  clementinelift-standins load --platform=ADDRESS --to=LIST [options]
  clementinelift-standins counts --platform=ADDRESS
  clementinelift-standins (-h | --help)

Serve options:
  --listen=ADDRESS        Platform and control server [default: 127.0.0.1:0].
  --port-file=FILE        Write the port of the platform server to FILE when all servers listen.
  --entry=LIST            Entry VMs in the VM list: NAME,ADDRESS,ZONE;NAME,ADDRESS,ZONE...
  --backends=N            Backend servers [default: 50].
  --zones=N               Availability zones [default: 3].
  --per-rack=N            Backend servers of a rack [default: 8].
  --slots=N               Slots of a backend server [default: 8].
  --connections=N         Connections of a backend server [default: 60].
  --lag-ms=N              Lag of the VM list [default: 1000].
  --sync-ms=N             Time of a synced append [default: 4].
  --appends-per-s=N       Append limit of the log [default: 400].
  --retention-ms=N        Age at which records are dropped [default: 3600000].
  --stragglers=SHARE      Share of the tasks that run 8 times longer [default: 0.005].

Load options:
  --platform=ADDRESS      Platform server of the stand-ins.
  --to=LIST               Caller interfaces of the entry VMs: ADDRESS,ADDRESS...
  --organisations=LIST    Names [default: north,south,west].
  --templates=LIST        NAME:never or NAME:allowed [default: reorder:never,quote:allowed].
  --jobs=N                Jobs in all [default: 1000].
  --rate=N                Jobs a second [default: 100].
  --max-tasks=N           Tasks of a job, at most [default: 8].
  --min-run-ms=N          Shortest task [default: 50].
  --max-run-ms=N          Longest ordinary task [default: 1000].
  --long-share=SHARE      Share of the tasks that run 3 s [default: 0.002].
  --failing-share=SHARE   Share of the tasks that run and fail [default: 0].
  --misdeclared=SHARE     Share of the tasks with a run time 5 times off [default: 0.1].
  --burst=SHARE           Share of the jobs that arrive at once in the middle [default: 0].
  --deadline-ms=N         Deadline of a job [default: 15000].
  --resubmit-ms=N         Callers resubmit after this time [default: 17000].
  --impatient=SHARE       Share of the callers that resubmit after 400 ms [default: 0.03].
  --cancel-waves=N        Waves of cancellations [default: 0].
  --keys=SOURCE           own, entry or mixed [default: mixed].

Common options:
  --seed=N                Seed of all randomness [default: 1].
  -h --help               Show this text.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string text(const Arguments &arguments, const char *name)
{
    return arguments.at(name).asString();
}

std::int64_t number(const Arguments &arguments, const char *name)
{
    return arguments.at(name).asLong();
}

double decimal(const Arguments &arguments, const char *name)
{
    return std::stod(text(arguments, name));
}

std::vector<std::string> split(const std::string &list, char separator)
{
    std::vector<std::string> parts;
    std::string::size_type from = 0;
    while (from <= list.size()) {
        const auto to = std::min(list.find(separator, from), list.size());
        parts.push_back(list.substr(from, to - from));
        from = to + 1;
    }
    return parts;
}

PlatformOptions platformOptions(const Arguments &arguments)
{
    PlatformOptions options;
    options.backends = static_cast<std::uint32_t>(number(arguments, "--backends"));
    options.zones = static_cast<std::uint32_t>(number(arguments, "--zones"));
    options.perRack = static_cast<std::uint32_t>(number(arguments, "--per-rack"));
    options.slots = static_cast<std::uint32_t>(number(arguments, "--slots"));
    options.connections = static_cast<std::uint32_t>(number(arguments, "--connections"));
    options.listLagMs = number(arguments, "--lag-ms");
    options.stragglers.probability = decimal(arguments, "--stragglers");
    options.log.syncUs = number(arguments, "--sync-ms") * 1000;
    options.log.appendsPerS = decimal(arguments, "--appends-per-s");
    options.log.retentionMs = number(arguments, "--retention-ms");
    options.seed = static_cast<std::uint64_t>(number(arguments, "--seed"));
    options.log.seed = options.seed;
    if (!arguments.at("--entry"))
        return options;
    for (const std::string &spec : split(text(arguments, "--entry"), ';')) {
        const auto parts = split(spec, ',');
        if (parts.size() != 3)
            throw std::invalid_argument("--entry=" + spec + ": NAME,ADDRESS,ZONE expected");
        options.entryVms.push_back({parts[0], false, parts[1], parts[2], {}});
    }
    return options;
}

LoadOptions loadOptions(const Arguments &arguments)
{
    LoadOptions options;
    options.organisations = split(text(arguments, "--organisations"), ',');
    for (const std::string &entry : split(text(arguments, "--templates"), ',')) {
        const auto parts = split(entry, ':');
        if (parts.size() != 2 || (parts[1] != "never" && parts[1] != "allowed"))
            throw std::invalid_argument("--templates: " + entry + ": NAME:never or NAME:allowed expected");
        options.templates.push_back({parts[0], parts[1] == "allowed"});
    }
    options.entryVms = split(text(arguments, "--to"), ',').size();
    options.jobs = static_cast<std::uint32_t>(number(arguments, "--jobs"));
    options.jobsPerS = decimal(arguments, "--rate");
    options.maxTasks = static_cast<std::uint32_t>(number(arguments, "--max-tasks"));
    options.minRunUs = number(arguments, "--min-run-ms") * 1000;
    options.maxRunUs = number(arguments, "--max-run-ms") * 1000;
    options.longShare = decimal(arguments, "--long-share");
    options.failingShare = decimal(arguments, "--failing-share");
    options.misdeclaredShare = decimal(arguments, "--misdeclared");
    options.burstShare = decimal(arguments, "--burst");
    options.deadlineMs = number(arguments, "--deadline-ms");
    options.resubmitMs = number(arguments, "--resubmit-ms");
    options.impatientShare = decimal(arguments, "--impatient");
    options.cancelWaves = static_cast<std::uint32_t>(number(arguments, "--cancel-waves"));
    options.seed = static_cast<std::uint64_t>(number(arguments, "--seed"));
    const std::string keys = text(arguments, "--keys");
    if (keys != "own" && keys != "entry" && keys != "mixed")
        throw std::invalid_argument("--keys=" + keys + ": own, entry or mixed expected");
    options.keys = keys == "own" ? KeySource::Own : keys == "entry" ? KeySource::Entry : KeySource::Mixed;
    return options;
}

int serve(const Arguments &arguments)
{
    // Blocked before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Platform platform(platformOptions(arguments));
    if (const auto started = platform.start(text(arguments, "--listen")); !started) {
        std::cerr << "stand-ins: " << started.error() << '\n';
        return 1;
    }
    if (arguments.at("--port-file"))
        std::ofstream(text(arguments, "--port-file")) << platform.port() << '\n';
    std::cout << "stand-ins: platform=127.0.0.1:" << platform.port() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    try {
        if (arguments.at("serve").asBool())
            return serve(arguments);
        if (arguments.at("counts").asBool())
            return printCounts(text(arguments, "--platform"));
        return runLoad(loadOptions(arguments), {split(text(arguments, "--to"), ','), text(arguments, "--platform")});
    } catch (const std::exception &exception) {
        std::cerr << "stand-ins: " << exception.what() << '\n';
        return 2;
    }
}
