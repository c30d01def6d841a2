// Case 8: the store is down twice, with a second between; the backend servers' entries expire in the first outage.
// Rule LOST: a job that could be done is shown as failed.
#include "review/deployment_2.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t outageMs = 4500;
constexpr std::int64_t expiryMs = 3 * 1500; // three heartbeats of silence
constexpr std::int64_t gapMs = 1000;        // between the outages
constexpr std::int64_t backAfterMs = 1500;  // entries are back within about two seconds of the store's return
constexpr std::int64_t requestGapMs = 50;
constexpr std::int64_t afterMs = 4000;
constexpr int taskMs = 100;

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Deployment deployment(record);
    for (const char *node : {"front-a-1", "front-a-2"})
        deployment.addEntryVm(node, 0.25);
    deployment.addBackends(8);
    if (!deployment.start())
        return couldNotRun;
    deployment.publish(1, {"/quote/"});
    for (std::size_t i = 0; i < 2; ++i)
        deployment.launch(i);
    if (!deployment.waitUntilReady(15000))
        return couldNotRun;
    sleepMs(2000);

    std::mutex mutex;
    std::vector<std::pair<std::string, Answer>> answers;
    std::atomic<bool> loadEnded = false;
    std::atomic<int> open = 0;
    std::thread callers([&] {
        for (std::uint64_t number = 1; !loadEnded; ++number) {
            const std::string id = jobId(number);
            ++open;
            deployment.submit(number % 2, "/quote/", id, 2, taskMs, [&, id](const Answer &answer) {
                {
                    const std::lock_guard lock(mutex);
                    answers.emplace_back(id, answer);
                }
                --open;
            });
            sleepMs(requestGapMs);
        }
    });

    sleepMs(1500);
    for (int outage = 1; outage <= 2; ++outage) {
        if (hasTrouble())
            deployment.setStoreDown(true);
        sleepMs(std::min(expiryMs, outageMs) - 100);
        if (hasTrouble() && outage == 1)
            deployment.expireEntries();
        sleepMs(outageMs - std::min(expiryMs, outageMs) + 100);
        if (hasTrouble())
            deployment.setStoreDown(false);
        sleepMs(outage == 1 ? gapMs : backAfterMs);
    }
    if (hasTrouble())
        deployment.registerEntries();
    sleepMs(afterMs);
    loadEnded = true;
    callers.join();
    while (open > 0)
        sleepMs(20);

    int failed = 0;
    int completed = 0;
    for (const auto &[id, answer] : answers) {
        completed += answer.isComplete && answer.body.find("\"completed\"") != std::string::npos ? 1 : 0;
        const bool isFailed = answer.isComplete && answer.body.find("\"failed\"") != std::string::npos;
        // No run of these backend servers ends as failed.
        failed += isFailed ? 1 : 0;
        if (isFailed)
            record.line("LOST: job " + id + ", sent at " + std::to_string(answer.sentAt)
                        + " ms, is shown as failed; no task of it has failed");
    }
    const std::string summary = "result: " + std::to_string(answers.size()) + " jobs, " + std::to_string(completed)
            + " completed, " + std::to_string(failed) + " shown as failed without cause";
    record.line(summary);
    std::cout << summary << '\n';
    return failed > 0 ? ruleBroken : completed > 50 ? ruleHeld : couldNotRun;
}
