// Case 7: an entry VM that has a new configuration passes requests on to one that does not have it yet.
// Rule CONFIG: a machine regresses.
#include "review/second/deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t rollbackSlackMs = 250;
constexpr std::int64_t configApplyMs = 2000;
constexpr std::int64_t cutMs = 5500;
constexpr std::int64_t publishAfterMs = 1000; // after the cut has begun
constexpr std::int64_t loadMs = 5000;         // from the acknowledgement of the new configuration
constexpr std::int64_t gapMs = 20;            // between two requests
constexpr int taskMs = 60;

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Deployment deployment(record);
    std::size_t cutLink = 0;
    const std::uint16_t proxyPort = deployment.addStoreProxy(cutLink);
    deployment.addEntryVm("front-a-1", 0.5);
    deployment.addEntryVm("front-a-2", 0.5, proxyPort);
    const std::size_t small = deployment.addEntryVm("front-a-3", 0.09);
    deployment.addBackends(8);
    if (!deployment.start())
        return couldNotRun;
    deployment.publish(17, {"/quote/"});
    for (std::size_t i = 0; i < 3; ++i)
        deployment.launch(i);
    if (!deployment.waitUntilReady(15000))
        return couldNotRun;
    sleepMs(4000);

    if (hasTrouble()) {
        record.line("platform: front-a-2 is partitioned from the store");
        clementinelift::soak::LinkFault fault;
        fault.holdsRequests = true;
        fault.holdsResponses = true;
        deployment.proxy().set(cutLink, fault);
    }
    const std::int64_t cutAt = record.now();
    sleepMs(publishAfterMs);
    deployment.publish(23, {"/quote/", "/proof/"});
    const std::int64_t acknowledgedAt = record.now();

    std::mutex mutex;
    std::vector<Answer> answers; // to requests of the new route
    std::atomic<int> open = 0;
    std::uint64_t number = 0;
    bool isCut = hasTrouble();
    while (record.now() - acknowledgedAt < loadMs) {
        if (isCut && record.now() - cutAt >= cutMs) {
            record.line("platform: the cut has ended");
            deployment.proxy().set(cutLink, {});
            isCut = false;
        }
        ++open;
        deployment.submit(small, "/proof/", jobId(++number), 1, taskMs, [&](const Answer &answer) {
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

    // The answer that a job is completed comes after a backend server has seen the effect of the new configuration.
    std::int64_t seenAt = -1;
    for (const Answer &answer : answers) {
        if (answer.isComplete && answer.status == 200 && (seenAt < 0 || answer.endedAt < seenAt))
            seenAt = answer.endedAt;
    }
    int regressions = 0;
    int lateRegressions = 0;
    int completed = 0;
    std::int64_t lastAfter = 0;
    for (const Answer &answer : answers) {
        completed += answer.isComplete && answer.status == 200 ? 1 : 0;
        if (!answer.isComplete || answer.status != 404 || seenAt < 0 || answer.sentAt <= seenAt + rollbackSlackMs)
            continue;
        ++regressions;
        lateRegressions += answer.sentAt > acknowledgedAt + configApplyMs ? 1 : 0;
        lastAfter = std::max(lastAfter, answer.sentAt - seenAt);
        record.line("CONFIG: a request sent to front-a-3 at " + std::to_string(answer.sentAt) + " ms, "
                    + std::to_string(answer.sentAt - seenAt)
                    + " ms after a backend server saw the new route through it, was answered 404");
    }
    const std::string summary = "result: " + std::to_string(answers.size()) + " requests on the new route, "
            + std::to_string(completed) + " completed, " + std::to_string(regressions)
            + " answered 404 later than rollbackSlackMs after the first effect, the last one "
            + std::to_string(lastAfter) + " ms after it, " + std::to_string(lateRegressions)
            + " later than configApplyMs after the acknowledgement";
    record.line(summary);
    std::cout << summary << '\n';
    return regressions > 0 ? ruleBroken : completed > 50 ? ruleHeld : couldNotRun;
}
