// Case 9: the store is silent for some seconds; the configuration changes half a second after its return.
// Rule CONFIG: a new configuration is in force 2 s after its acknowledgement.
#include "review/deployment_2.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t outageMs = 4500;
constexpr std::int64_t outageAfterMs = 2400; // from a change of the configuration, which all entry VMs read at once
constexpr std::int64_t changeAfterMs = 500;  // from the return of the store
constexpr std::int64_t configApplyMs = 2000;
constexpr std::int64_t stableWindowMs = 3000;
constexpr std::int64_t loadMs = 6000; // from the return of the store
constexpr std::int64_t gapMs = 20;    // between two requests
constexpr int taskMs = 60;

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Deployment deployment(record);
    std::size_t link = 0;
    const std::uint16_t proxyPort = deployment.addStoreProxy(link);
    for (const char *node : {"front-a-1", "front-a-2"})
        deployment.addEntryVm(node, 0.25, proxyPort);
    deployment.addBackends(8);
    if (!deployment.start())
        return couldNotRun;
    deployment.publish(3, {"/quote/"});
    for (std::size_t i = 0; i < 2; ++i)
        deployment.launch(i);
    if (!deployment.waitUntilReady(15000))
        return couldNotRun;
    sleepMs(3000);

    deployment.publish(7, {"/quote/", "/check/"});
    sleepMs(outageAfterMs);
    // During the outage nothing is answered. Afterwards new connections work; those that are open stay silent.
    clementinelift::soak::LinkFault fault;
    fault.holdsRequests = true;
    fault.holdsResponses = true;
    if (hasTrouble()) {
        record.line("platform: the store is silent");
        deployment.proxy().set(link, fault);
    }
    sleepMs(outageMs);
    if (hasTrouble()) {
        fault.onlyExisting = true;
        deployment.proxy().set(link, fault);
        record.line("platform: the store is back");
    }
    const std::int64_t backAt = record.now();
    sleepMs(changeAfterMs);
    deployment.publish(12, {"/quote/", "/check/", "/proof/"});
    const std::int64_t acknowledgedAt = record.now();

    std::mutex mutex;
    std::vector<Answer> answers; // to requests on the new route
    std::atomic<int> open = 0;
    for (std::uint64_t number = 1; record.now() - backAt < loadMs; ++number) {
        ++open;
        deployment.submit(number % 2, "/proof/", jobId(number), 1, taskMs, [&](const Answer &answer) {
            {
                const std::lock_guard lock(mutex);
                answers.push_back(answer);
            }
            --open;
        });
        sleepMs(gapMs);
    }
    while (open > 0)
        sleepMs(20);

    const std::int64_t judgedFrom = std::max(acknowledgedAt + configApplyMs, backAt + stableWindowMs);
    int late = 0;
    int completed = 0;
    std::int64_t lastAt = 0;
    for (const Answer &answer : answers) {
        completed += answer.isComplete && answer.status == 200 ? 1 : 0;
        if (!answer.isComplete || answer.status != 404 || answer.sentAt <= judgedFrom)
            continue;
        ++late;
        lastAt = std::max(lastAt, answer.sentAt);
        record.line("CONFIG: a request sent at " + std::to_string(answer.sentAt) + " ms, "
                    + std::to_string(answer.sentAt - acknowledgedAt) + " ms after the acknowledgement and "
                    + std::to_string(answer.sentAt - backAt) + " ms after the store's return, was answered 404");
    }
    const std::string summary = "result: " + std::to_string(answers.size()) + " requests on the new route, "
            + std::to_string(completed) + " completed, " + std::to_string(late)
            + " answered 404 by entry VMs in touch later than configApplyMs, the last one "
            + std::to_string(late > 0 ? lastAt - acknowledgedAt : 0) + " ms after the acknowledgement";
    record.line(summary);
    std::cout << summary << '\n';
    return late > 0 ? ruleBroken : completed > 50 ? ruleHeld : couldNotRun;
}
