// The store is down for some seconds, meanwhile the entry VMs are killed one after the other and start again. Exit
// status 1: a job is answered as failed, although no backend server has failed a task.
#include "review/deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace clementinelift::review;
using std::chrono::milliseconds;

namespace {

constexpr int outages = 3;
constexpr int outageMs = 4900;
constexpr int firstKillMs = 600; // after the beginning of the outage
constexpr int killGapMs = 600;
constexpr int downMs = 500; // of a killed process
constexpr int calmMs = 7000;
constexpr int gapMs = 25; // between two requests
constexpr std::int64_t budgetMs = 1500;

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
    Deployment deployment(argv[1], record, zones, 2);
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

    std::atomic<int> sent = 0;
    std::atomic<int> completed = 0;
    std::atomic<int> failed = 0;
    std::atomic<bool> isDone = false;
    Callers callers(record);
    std::thread traffic([&] {
        std::vector<std::size_t> rotation = vms;
        for (std::uint64_t number = 1; !isDone; ++number) {
            if (number % (1000 / gapMs) == 0) { // entry VMs that are ready, or all when none is
                rotation.clear();
                for (const std::size_t vm : vms) {
                    if (deployment.isReady(vm))
                        rotation.push_back(vm);
                }
                if (rotation.empty())
                    rotation = vms;
            }
            ++sent;
            callers.send("POST", deployment.callerAddress(rotation[number % rotation.size()]), makeJobId(number),
                         makeJob(1, 60), budgetMs, [&](const Answer &answer) {
                             if (answer.status != 200)
                                 return;
                             const bool isFailed = answer.body.find("failed") != std::string::npos;
                             ++(isFailed ? failed : completed);
                         });
            std::this_thread::sleep_for(milliseconds(gapMs));
        }
    });
    std::this_thread::sleep_for(milliseconds(3000));
    for (int outage = 0; outage < outages; ++outage) {
        const auto beganAt = Clock::now();
        if (hasTrouble)
            deployment.setStoreDown(true);
        for (std::size_t i = 0; hasTrouble && i < vms.size(); ++i) {
            std::this_thread::sleep_until(beganAt + milliseconds(firstKillMs + static_cast<int>(i) * killGapMs));
            deployment.killVm(vms[i]);
            std::this_thread::sleep_for(milliseconds(downMs));
            deployment.startVm(vms[i]);
        }
        std::this_thread::sleep_until(beganAt + milliseconds(outageMs));
        if (hasTrouble)
            deployment.setStoreDown(false);
        std::this_thread::sleep_for(milliseconds(calmMs));
    }
    isDone = true;
    traffic.join();
    std::this_thread::sleep_for(milliseconds(budgetMs + 200));
    const std::string result = "jobs=" + std::to_string(sent) + " completed=" + std::to_string(completed)
            + " answered_as_failed=" + std::to_string(failed) + " tasks_that_failed=0";
    record.line(result);
    std::cout << result << '\n';
    if (deployment.hasUnexpectedExit() || completed == 0)
        return 2;
    return failed > 0 ? 1 : 0;
}
