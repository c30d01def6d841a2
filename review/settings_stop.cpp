// Case 6: the settings file of an entry VM is replaced, and the entry VM gets SIGTERM right after.
// Rule LOST: a planned stop cuts no request in progress.
#include "review/deployment_2.h"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t graceMs = 6000;
constexpr std::int64_t lossSlackMs = 200;
constexpr std::int64_t budgetMs = 1500;
constexpr std::int64_t afterGraceMs = 1000;       // requests are counted until 1 s after graceS
constexpr std::int64_t earlySendMs = 3000;        // sent no later than this after the SIGTERM ...
constexpr std::int64_t lastSixthMs = graceMs / 6; // ... and at work in this part of graceS: not counted
constexpr std::int64_t loadMs = 14000;
constexpr std::int64_t stopAtMs = 4000; // after the load has started
constexpr std::int64_t gapMs = 10;      // between two requests
constexpr int taskMs = 200;
constexpr std::size_t stopped = 0; // index of the entry VM that is stopped

struct Cut
{
    std::string id;
    Answer answer;
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Deployment deployment(record);
    for (const char *node : {"front-a-1", "front-a-2", "front-a-3"})
        deployment.addEntryVm(node, 0.25);
    deployment.addBackends(24);
    if (!deployment.start())
        return couldNotRun;
    deployment.publish(1, {"/quote/"});
    for (std::size_t i = 0; i < 3; ++i)
        deployment.launch(i);
    if (!deployment.waitUntilReady(15000))
        return couldNotRun;
    sleepMs(2000);

    // The balancer: a probe each second; after two misses an entry VM gets no new connections.
    std::atomic<bool> loadEnded = false;
    std::atomic<bool> inRotation[3] = {true, true, true};
    std::thread balancer([&] {
        int misses[3] = {0, 0, 0};
        while (!loadEnded) {
            for (std::size_t i = 0; i < 3; ++i) {
                misses[i] = deployment.isReady(i) ? 0 : misses[i] + 1;
                const bool isIn = misses[i] < 2;
                if (inRotation[i].exchange(isIn) != isIn)
                    record.line("balancer: " + deployment.vm(i).node + (isIn ? " is" : " is no longer")
                                + " in rotation");
            }
            sleepMs(1000);
        }
    });

    std::mutex mutex;
    std::vector<Cut> cuts;
    std::atomic<int> open = 0;
    std::atomic<int> completed = 0;
    std::thread callers([&] {
        const std::int64_t from = record.now();
        for (std::uint64_t number = 1; record.now() - from < loadMs; ++number) {
            std::size_t vm = number % 3;
            for (int tries = 0; tries < 3 && !inRotation[vm]; ++tries)
                vm = (vm + 1) % 3;
            const std::string id = jobId(number);
            ++open;
            deployment.submit(vm, "/quote/", id, 1, taskMs, [&, vm, id](const Answer &answer) {
                completed += answer.isComplete && answer.status == 200 ? 1 : 0;
                if (vm == stopped && !answer.isComplete) {
                    const std::lock_guard lock(mutex);
                    cuts.push_back({id, answer});
                }
                --open;
            });
            sleepMs(gapMs);
        }
    });

    sleepMs(stopAtMs);
    if (hasTrouble()) { // the platform replaces the settings file without a signal
        deployment.vm(stopped).seedCount = 3;
        deployment.writeSettings(stopped);
        sleepMs(20);
    }
    const std::int64_t termAt = record.now();
    deployment.signal(stopped, SIGTERM);
    while (!deployment.hasEnded(stopped) && record.now() < termAt + graceMs)
        sleepMs(5);
    const bool wasKilled = !deployment.hasEnded(stopped);
    const std::int64_t endedAt = record.now();
    if (wasKilled)
        deployment.signal(stopped, SIGKILL);
    while (!deployment.hasEnded(stopped))
        sleepMs(5);
    sleepMs(500);
    deployment.launch(stopped);
    callers.join();
    while (open > 0)
        sleepMs(20);
    loadEnded = true;
    balancer.join();

    // Refused connections are left out: no process has read these requests.
    int lost = 0;
    for (const Cut &cut : cuts) {
        const Answer &answer = cut.answer;
        const bool wasPassedOn = deployment.runs().hasRun(cut.id);
        const bool isInPlannedWork = answer.endedAt >= termAt && answer.sentAt <= termAt + graceMs + afterGraceMs;
        const bool hasUsedItsTime = answer.endedAt - answer.sentAt >= budgetMs - 5;
        const bool isLate = wasPassedOn || answer.endedAt - answer.sentAt > lossSlackMs;
        const bool wasSentEarly = answer.sentAt <= termAt + earlySendMs && endedAt >= termAt + graceMs - lastSixthMs;
        const bool counts = isInPlannedWork && wasPassedOn && isLate && !hasUsedItsTime && !wasSentEarly;
        lost += counts ? 1 : 0;
        if (counts)
            record.line("LOST: " + cut.id + " was sent " + std::to_string(answer.sentAt - termAt)
                        + " ms after the SIGTERM and cut off " + std::to_string(answer.endedAt - termAt)
                        + " ms after it, a task of it had been started");
    }
    const std::string summary = "result: " + std::to_string(completed) + " jobs completed, the entry VM "
            + (wasKilled ? "was still running after graceS and was killed" : "ended by itself") + " "
            + std::to_string(endedAt - termAt) + " ms after the SIGTERM, " + std::to_string(lost) + " requests lost";
    record.line(summary);
    std::cout << summary << '\n';
    return lost > 0 ? ruleBroken : completed > 100 ? ruleHeld : couldNotRun;
}
