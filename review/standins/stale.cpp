// A commander is cut off from the store while the configuration gains a route. Requests of the new route go to a small
// entry VM of its zone. Exit status 1: one of them, sent later than rollbackSlackMs after a backend server has begun a
// task of the new route, is answered 404.
#include "review/standins/deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace clementinelift::review;
using std::chrono::milliseconds;

namespace {

constexpr int rollbackSlackMs = 250;
constexpr int configApplyMs = 2000;
constexpr int cutMs = 5500;
constexpr int beforeChangeMs = 1000; // from the cut to the change
constexpr int gapMs = 10;            // between two requests
constexpr std::int64_t budgetMs = 1500;

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
    if (!deployment.start(error)) {
        std::cerr << error << '\n';
        return 2;
    }
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
    std::vector<Request> requests;
    std::atomic<int> waiting = 0;
    Callers callers(record);
    const auto cutAt = Clock::now();
    if (hasTrouble)
        deployment.cutFromStore(cutVm, true);
    std::this_thread::sleep_for(milliseconds(beforeChangeMs));
    deployment.configure(2, {"/n/"});
    const std::int64_t acknowledgedMs = record.nowMs();
    for (std::uint64_t number = 0; Clock::now() < cutAt + milliseconds(cutMs); ++number) {
        const std::int64_t sentMs = record.nowMs();
        ++waiting;
        callers.send(
                "POST", deployment.callerAddress(smallVm), "f" + makeJobId(number).substr(1), makeJob(1, 60), budgetMs,
                [&, sentMs](const Answer &answer) {
                    {
                        const std::lock_guard lock(mutex);
                        requests.push_back({sentMs, answer.status});
                    }
                    --waiting;
                },
                "/n/");
        std::this_thread::sleep_for(milliseconds(gapMs));
    }
    if (hasTrouble)
        deployment.cutFromStore(cutVm, false);
    waitUntil(milliseconds(3000), [&] { return waiting == 0; });

    const std::int64_t effectMs = record.firstRunMs("f");
    int completed = 0;
    int regressed = 0;
    int late = 0;
    std::int64_t lastMs = 0;
    for (const Request &request : requests) {
        completed += request.status == 200 ? 1 : 0;
        if (request.status != 404)
            continue;
        lastMs = std::max(lastMs, request.sentMs - acknowledgedMs);
        regressed += effectMs >= 0 && request.sentMs > effectMs + rollbackSlackMs ? 1 : 0;
        late += request.sentMs > acknowledgedMs + configApplyMs ? 1 : 0;
    }
    const std::string result = "requests=" + std::to_string(requests.size()) + " completed=" + std::to_string(completed)
            + " first_run_ms_after_ack=" + std::to_string(effectMs - acknowledgedMs)
            + " 404_later_than_250_ms_after_that=" + std::to_string(regressed) + " 404_later_than_2000_ms_after_ack="
            + std::to_string(late) + " last_404_ms_after_ack=" + std::to_string(lastMs);
    record.line(result);
    std::cout << result << '\n';
    if (deployment.hasUnexpectedExit() || effectMs < 0 || completed == 0)
        return 2;
    return regressed > 0 || late > 0 ? 1 : 0;
}
