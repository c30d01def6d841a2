// Callers submit jobs, move to another availability zone and cancel the jobs there. Exit status 1: a task of a
// cancelled job runs on cancel_ms + stopMs after the answer to the cancel.
#include "review/deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace clementinelift::review;
using std::chrono::milliseconds;

namespace {

constexpr int jobs = 6;
constexpr int runMs = 7000;
constexpr int cancelAfterMs = 1500;
constexpr int cancelMs = 3000; // cancel_ms
constexpr int stopMs = 50;
constexpr std::int64_t budgetMs = 20000;

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[2]);
    const std::vector<std::string> zones{"sk-a", "sk-b", "sk-c"};
    Deployment deployment(argv[1], record, zones, 4);
    std::string error;
    if (!deployment.start(error)) {
        std::cerr << error << '\n';
        return 2;
    }
    std::vector<std::size_t> vms;
    for (const char *number : {"-1", "-2"}) {
        for (const std::string &zone : zones)
            vms.push_back(deployment.addVm("front-" + zone + number, zone));
    }
    for (const std::size_t vm : vms)
        deployment.startVm(vm);
    const bool areReady = waitUntil(milliseconds(15000), [&] {
        return std::all_of(vms.begin(), vms.end(), [&](std::size_t vm) { return deployment.isReady(vm); });
    });
    if (!areReady)
        return 2;
    std::this_thread::sleep_for(milliseconds(2000));

    int acknowledged = 0;
    int runningOn = 0;
    int notStarted = 0;
    for (int job = 0; job < jobs; ++job) {
        Callers callers(record);
        const std::string id = makeJobId(0x5c0e7a2100000000ULL + static_cast<std::uint64_t>(job));
        const std::size_t first = vms[static_cast<std::size_t>(job) % vms.size()];
        const std::size_t second = hasTrouble ? vms[static_cast<std::size_t>(job + 1) % vms.size()] : first;
        callers.send("POST", deployment.callerAddress(first), id, makeJob(2, runMs), budgetMs, [](const Answer &) {});
        std::this_thread::sleep_for(milliseconds(cancelAfterMs));
        if (deployment.runningTasks(id) == 0) {
            ++notStarted;
            continue;
        }
        std::atomic<int> status = -1;
        callers.send("DELETE", deployment.callerAddress(second), id, "", 2000,
                     [&](const Answer &answer) { status = answer.status; });
        waitUntil(milliseconds(2500), [&] { return status >= 0; });
        if (status != 410 && (status < 200 || status > 299))
            continue;
        ++acknowledged;
        std::this_thread::sleep_for(milliseconds(cancelMs + stopMs));
        const std::size_t running = deployment.runningTasks(id);
        record.line("tasks that run " + std::to_string(cancelMs + stopMs)
                    + " ms after the answer to the cancel: " + std::to_string(running) + " job=" + id);
        runningOn += running > 0 ? 1 : 0;
    }
    const std::string result = "jobs=" + std::to_string(jobs) + " cancels_answered_2xx_or_410="
            + std::to_string(acknowledged) + " jobs_that_run_on=" + std::to_string(runningOn);
    record.line(result);
    std::cout << result << '\n';
    if (deployment.hasUnexpectedExit() || notStarted > 0 || acknowledged == 0)
        return 2;
    return runningOn > 0 ? 1 : 0;
}
