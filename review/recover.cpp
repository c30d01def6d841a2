// Many entry VMs are removed and replaced, then all processes are killed and start again. Prints the share of requests
// served before, and of those sent later than recoveryS after the restart. Exit status 1: less than a quarter of the
// latter, although a quarter or more was served before.
#include "review/deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using namespace clementinelift::review;
using std::chrono::milliseconds;

namespace {

constexpr int replacements = 42;        // of each of the six entry VMs
constexpr int recoveryMs = 12000;       // recoveryS
constexpr int downMs = 1200;            // until a killed process is started again
constexpr int trafficMs = 4000;         // before the fault
constexpr int judgedMs = 5000;          // after the time for recovery
constexpr int gapMs = 25;               // between two requests
constexpr std::int64_t budgetMs = 1500; // of a request

// Counts the requests sent in one span of time.
struct Share
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    double value() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

// Sends requests for some time to the entry VMs in rotation: those that are ready, or all when none is.
void sendRequests(Deployment &deployment, Callers &callers, const std::vector<std::size_t> &vms, milliseconds length,
                  const std::function<Share *()> &current, std::uint64_t &number)
{
    const auto end = Clock::now() + length;
    std::vector<std::size_t> rotation = vms;
    auto checkAt = Clock::now();
    while (Clock::now() < end) {
        if (Clock::now() >= checkAt) {
            checkAt = Clock::now() + milliseconds(1000);
            rotation.clear();
            for (const std::size_t vm : vms) {
                if (deployment.vm(vm).pid > 0 && deployment.isReady(vm))
                    rotation.push_back(vm);
            }
            if (rotation.empty())
                rotation = vms;
        }
        ++number;
        Share *share = current();
        if (share != nullptr)
            ++share->sent;
        callers.send("POST", deployment.callerAddress(rotation[number % rotation.size()]), makeJobId(number),
                     makeJob(2, 60), budgetMs, [share](const Answer &answer) {
                         if (share != nullptr && answer.status == 200
                             && answer.body.find("completed") != std::string::npos)
                             ++share->served;
                     });
        std::this_thread::sleep_for(milliseconds(gapMs));
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const int rounds = trouble != nullptr && std::string(trouble) == "0" ? 0 : replacements;
    Record record(argv[2]);
    const std::vector<std::string> zones{"sk-a", "sk-b", "sk-c"};
    Deployment deployment(argv[1], record, zones, 4);
    std::string error;
    if (!deployment.start(error)) {
        std::cerr << error << '\n';
        return 2;
    }

    // One entry VM after the other is removed without SIGTERM, and a new one comes at another address.
    std::map<std::string, int> lastNumber;
    const auto startNew = [&](const std::string &zone) {
        const int number = 101 + lastNumber[zone]++;
        const std::size_t vm = deployment.addVm("front-" + zone + "-" + std::to_string(number), zone);
        deployment.startVm(vm);
        return vm;
    };
    std::vector<std::size_t> vms;
    for (const std::string &zone : zones) {
        for (int i = 0; i < 2; ++i)
            vms.push_back(startNew(zone));
    }
    const auto areAnnounced = [&] {
        return std::all_of(vms.begin(), vms.end(), [&](std::size_t vm) { return deployment.isAnnounced(vm); });
    };
    if (!waitUntil(milliseconds(10000), areAnnounced))
        return 2;
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t &vm : vms) {
            const std::string zone = deployment.vm(vm).zone;
            deployment.killVm(vm);
            vm = startNew(zone);
            const auto isAnnounced = [&] { return deployment.isAnnounced(vm); };
            if (!waitUntil(milliseconds(5000), isAnnounced) || deployment.hasUnexpectedExit())
                return 2;
        }
    }
    const bool areReady = waitUntil(milliseconds(45000), [&] {
        return std::all_of(vms.begin(), vms.end(), [&](std::size_t vm) { return deployment.isReady(vm); });
    });
    record.line(std::string("entry VMs are ready: ") + (areReady ? "yes" : "no"));
    if (!areReady)
        return 2;

    Share before;
    Share after;
    std::uint64_t number = 0;
    Callers callers(record);
    sendRequests(
            deployment, callers, vms, milliseconds(trafficMs), [&] { return &before; }, number);
    record.line("final fault: all processes are killed");
    for (const std::size_t vm : vms)
        deployment.killVm(vm);
    std::this_thread::sleep_for(milliseconds(downMs));
    for (const std::size_t vm : vms)
        deployment.startVm(vm);
    const auto backAt = Clock::now();
    record.line("all processes are started again");
    sendRequests(
            deployment, callers, vms, milliseconds(recoveryMs + judgedMs),
            [&]() -> Share * { return Clock::now() > backAt + milliseconds(recoveryMs) ? &after : nullptr; }, number);
    std::this_thread::sleep_for(milliseconds(budgetMs + 200));
    std::string result = "removed_vms_per_zone=" + std::to_string(2 * rounds);
    result += " served_before=" + std::to_string(before.value())
            + " served_after_recovery=" + std::to_string(after.value());
    result += " requests_after_recovery=" + std::to_string(after.sent);
    record.line(result);
    std::cout << result << '\n';
    if (deployment.hasUnexpectedExit() || before.value() < 0.25)
        return 2;
    return after.value() < 0.25 ? 1 : 0;
}
