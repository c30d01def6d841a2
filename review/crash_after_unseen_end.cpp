// Case 10: the answer that reports the end of a run is lost, and its backend server crashes 0.3 s later.
// Rule LOST: a job is shown as failed for two crashes although only one backend server has crashed under its task.
#include "review/order_filter.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::int64_t resendMs = 1300; // after 504 or no answer
constexpr std::int64_t crashAfterEndMs = 300;
constexpr std::int64_t secondCrashMs = 80; // after the second run has begun
constexpr std::int64_t darkMs = 2000;      // of each crash
constexpr int taskMs = 200;
constexpr int maxAnswers = 6;
constexpr std::size_t backends = 16; // two of them crash

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Deployment deployment(record);
    for (const char *node : {"front-a-1", "front-a-2"})
        deployment.addEntryVm(node, 0.25);
    deployment.addBackends(backends);
    std::string addresses[backends];
    for (std::size_t i = 0; i < backends; ++i) {
        addresses[i] = "127.0.0.1:" + std::to_string(deployment.freePort());
        deployment.registerAt(i, addresses[i]);
    }
    if (!deployment.start())
        return couldNotRun;
    std::vector<std::unique_ptr<OrderFilter>> filters;
    for (std::size_t i = 0; i < backends; ++i) {
        filters.push_back(
                std::make_unique<OrderFilter>(record, deployment.backend(i).id(), deployment.backendAddress(i)));
        if (!filters[i]->listen(addresses[i]))
            return couldNotRun;
    }
    deployment.publish(1, {"/proof/"});
    for (std::size_t i = 0; i < 2; ++i)
        deployment.launch(i);
    if (!deployment.waitUntilReady(15000))
        return couldNotRun;
    sleepMs(2000);

    const std::string id = jobId(1);
    int starts[backends] = {};
    std::atomic<bool> isAnswered = false;
    // Waits for a start of the job until its answer; the index of the backend server that got it, or -1.
    const auto findStart = [&](std::int64_t limitMs) {
        for (const std::int64_t until = record.now() + limitMs; record.now() < until; sleepMs(2)) {
            for (std::size_t i = 0; i < backends; ++i) {
                if (filters[i]->starts() > starts[i]) {
                    starts[i] = filters[i]->starts();
                    return static_cast<int>(i);
                }
            }
            if (isAnswered)
                break;
        }
        return -1;
    };
    const auto crash = [&](int server) {
        OrderFilter &filter = *filters[static_cast<std::size_t>(server)];
        record.line("minion-" + std::to_string(server) + " crashes; its connections break, new ones are refused");
        deployment.backend(static_cast<std::size_t>(server)).restart();
        filter.crash();
        return std::thread([&, server] {
            sleepMs(darkMs);
            deployment.putEntry(static_cast<std::size_t>(server));
            filters[static_cast<std::size_t>(server)]->listen(addresses[server]);
            record.line("minion-" + std::to_string(server) + " is back");
        });
    };

    Answer last;
    const auto submit = [&](std::size_t vm) {
        isAnswered = false;
        deployment.submit(vm, "/proof/", id, 1, taskMs, [&](const Answer &answer) {
            last = answer;
            isAnswered = true;
        });
    };
    std::vector<std::thread> restarts;
    int crashes = 0;
    submit(0);
    const int firstServer = findStart(1000);
    if (firstServer < 0)
        return couldNotRun;
    if (hasTrouble()) {
        sleepMs(taskMs / 2);
        record.line("the open connections to minion-" + std::to_string(firstServer) + " go silent");
        filters[static_cast<std::size_t>(firstServer)]->silence();
        sleepMs(taskMs - taskMs / 2);
        record.line("the run has ended as done; the answer that reports it is lost");
        sleepMs(crashAfterEndMs);
        restarts.push_back(crash(firstServer));
    }
    for (int answers = 0; answers < maxAnswers; ++answers) {
        if (hasTrouble() && crashes == 0) {
            const int server = findStart(3000);
            if (server >= 0) {
                sleepMs(secondCrashMs);
                restarts.push_back(crash(server));
                ++crashes;
            }
        }
        while (!isAnswered)
            sleepMs(5);
        if (last.isComplete && last.status != 504)
            break;
        sleepMs(resendMs);
        submit(1);
    }
    for (std::thread &restart : restarts)
        restart.join();
    const bool isFailed = last.body.find("\"failed\"") != std::string::npos;
    const std::string summary = "result: the job is answered " + std::to_string(last.status) + " " + last.body + ", "
            + std::to_string(crashes) + " backend server has crashed under its task, none has failed it";
    record.line(summary);
    std::cout << summary << '\n';
    if (isFailed)
        return crashes < 2 ? ruleBroken : couldNotRun;
    return last.status == 200 ? ruleHeld : couldNotRun;
}
