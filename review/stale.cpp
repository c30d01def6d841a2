// A commander is cut off from the store while the configuration gains a route and sends another route to another
// service. Requests of both go to a small entry VM of its zone. Exit status 1: one of them that was sent later than
// rollbackSlackMs after a backend server has begun a task as the new version says is answered 404, or run by the old
// service.
#include "review/deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace clementinelift::review;
using std::chrono::milliseconds;

namespace {

constexpr int rollbackSlackMs = 250;
constexpr int cutMs = 5500;
constexpr int beforeChangeMs = 1000; // from the cut to the change
constexpr int gapMs = 10;            // between two requests
constexpr std::int64_t budgetMs = 1500;

constexpr const char *newService = "nuva";
constexpr const char *newPrefix = "f";   // of the ids of jobs of the new route
constexpr const char *movedPrefix = "e"; // the same of the route that moves to the new service

struct Request
{
    std::int64_t sentMs = 0;
    int status = 0;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    Record record(argv[2]);
    Deployment deployment(argv[1], record, {"sk-a", "sk-b"}, 4);
    std::string error;
    deployment.addService(newService);
    if (!deployment.start(error)) {
        std::cerr << error << '\n';
        return 2;
    }
    deployment.configure(2, {{"/m/", "dopln"}});
    std::vector<std::size_t> vms;
    for (const std::string zone : {"sk-a", "sk-b"}) {
        vms.push_back(deployment.addVm("front-" + zone + "-1", zone, 0.5));
        vms.push_back(deployment.addVmWithLink("front-" + zone + "-2", zone, 0.5));
        vms.push_back(deployment.addVm("front-" + zone + "-3", zone, 0.09));
    }
    const std::size_t cutVm = vms[1];
    const std::size_t smallVm = vms[2];
    for (const std::size_t vm : vms)
        deployment.startVm(vm);
    const bool areReady = waitUntil(milliseconds(15000), [&] {
        return std::all_of(vms.begin(), vms.end(), [&](std::size_t vm) { return deployment.isReady(vm); });
    });
    if (!areReady)
        return 2;
    std::this_thread::sleep_for(milliseconds(3000));

    std::mutex mutex;
    std::map<std::string, Request> requests; // by job
    std::atomic<int> waiting = 0;
    Callers callers(record);
    const auto cutAt = Clock::now();
    if (hasTrouble)
        deployment.cutFromStore(cutVm, true);
    std::this_thread::sleep_for(milliseconds(beforeChangeMs));
    deployment.configure(3, {{"/n/", "dopln"}, {"/m/", newService}});
    const std::int64_t acknowledgedMs = record.nowMs();
    for (std::uint64_t number = 0; Clock::now() < cutAt + milliseconds(cutMs); ++number) {
        const bool isMoved = number % 2 == 1;
        const std::string job = (isMoved ? movedPrefix : newPrefix) + makeJobId(number).substr(1);
        {
            const std::lock_guard lock(mutex);
            requests[job].sentMs = record.nowMs();
        }
        ++waiting;
        callers.send(
                "POST", deployment.callerAddress(smallVm), job, makeJob(1, 60), budgetMs,
                [&, job](const Answer &answer) {
                    {
                        const std::lock_guard lock(mutex);
                        requests[job].status = answer.status;
                    }
                    --waiting;
                },
                isMoved ? "/m/" : "/n/");
        std::this_thread::sleep_for(milliseconds(gapMs));
    }
    if (hasTrouble)
        deployment.cutFromStore(cutVm, false);
    waitUntil(milliseconds(3000), [&] { return waiting == 0; });

    // The first run of the new route, and the first one of the moved route at its new service.
    const std::map<std::string, Record::FirstRun> runs = record.firstRuns();
    const std::int64_t newMs = record.firstRunMs(newPrefix);
    std::int64_t movedMs = -1;
    for (const auto &[job, run] : runs) {
        if (job.starts_with(movedPrefix) && run.server.starts_with(newService) && (movedMs < 0 || run.ms < movedMs))
            movedMs = run.ms;
    }
    int completed = 0;
    int unknown = 0;
    int misplaced = 0;
    std::int64_t lastMs = 0;
    for (const auto &[job, request] : requests) {
        completed += request.status == 200 ? 1 : 0;
        const auto run = runs.find(job);
        const bool isUnknown = request.status == 404;
        const bool isMisplaced =
                job.starts_with(movedPrefix) && run != runs.end() && !run->second.server.starts_with(newService);
        if (!isUnknown && !isMisplaced)
            continue;
        lastMs = std::max(lastMs, request.sentMs - acknowledgedMs);
        const std::int64_t effectMs = job.starts_with(movedPrefix) ? movedMs : newMs;
        if (effectMs < 0 || request.sentMs <= effectMs + rollbackSlackMs)
            continue;
        ++(isUnknown ? unknown : misplaced);
    }
    const std::string result = "requests=" + std::to_string(requests.size()) + " completed=" + std::to_string(completed)
            + " first_runs_ms_after_ack=" + std::to_string(newMs - acknowledgedMs) + ","
            + std::to_string(movedMs - acknowledgedMs) + " over_250_ms_after_that:404=" + std::to_string(unknown)
            + ",run_by_old_service=" + std::to_string(misplaced) + " last_ms_after_ack=" + std::to_string(lastMs);
    record.line(result);
    std::cout << result << '\n';
    if (deployment.hasUnexpectedExit() || newMs < 0 || movedMs < 0 || completed == 0)
        return 2;
    return unknown > 0 || misplaced > 0 ? 1 : 0;
}
