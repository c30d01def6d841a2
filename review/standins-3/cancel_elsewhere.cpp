// A machine is added to the system, so that a client's new channel reaches another machine than its open one. The
// client cancels the job that it has submitted over the open channel.
//
// Usage: cancel-elsewhere FOLDER TROUBLE [SEED]. Exit status: 0 rule held, 1 broken, 2 could not run.
#include "world.h"

using namespace review;

namespace {

constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopMs = 50;
constexpr std::int64_t taskMs = 6000;
constexpr std::int64_t budgetMs = 10000;
constexpr int jobCount = 6;

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    const bool isTrouble = argc <= 2 || std::string(argv[2]) != "0";
    std::mt19937_64 random(argc > 3 ? std::stoul(argv[3]) : std::random_device()());
    Record record(folder + "/record.txt");
    Ledger ledger(record);
    const Addresses addresses(random);
    const std::string scratch =
            std::filesystem::temp_directory_path() / ("cancel-elsewhere-" + std::to_string(getpid()));
    std::filesystem::create_directories(scratch);

    Store store(8);
    store.put(
            "keyed.op", "config",
            R"({"version":7,"routes":[{"name":"q","host":"shop.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":10000,"targetCompletionMs":1000,"priority":0,"service":"svc","maxAttempts":3,"stretch":1.6}],"services":[{"name":"svc","rejectsOverload":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}})");
    const std::string storeAddress = addresses.ip(200) + ":8169";
    if (!store.start(storeAddress))
        return 2;
    std::list<Minion> minions;
    for (int i = 0; i < 4; ++i) {
        minions.emplace_back("i-" + std::to_string(i), "zone-a", addresses.ip(100 + i) + ":8080", true, store, ledger,
                             record);
        if (!minions.back().begin({"a", "r1-1", 16000, 32768}))
            return 2;
    }
    std::list<Machine> machines;
    for (int i = 0; i < 2; ++i)
        machines.emplace_back("front-zone-a-" + std::to_string(i + 1), "zone-a", addresses.ip(1 + i), scratch,
                              storeAddress);
    Machine &first = machines.front();
    Machine &added = machines.back();
    first.start();
    if (!first.waitUntilReady(15000))
        return 2;
    std::this_thread::sleep_for(Ms(2000));
    if (isTrouble) {
        added.start();
        record.line("machine %s is added", added.name().c_str());
        if (!added.waitUntilReady(15000))
            return 2;
        std::this_thread::sleep_for(Ms(3000)); // the shards have changed hands
    }

    std::atomic<int> pending = 0;
    std::atomic<int> ranOn = 0;
    std::atomic<int> unacknowledged = 0;
    std::atomic<int> begun = 0;
    for (int i = 0; i < jobCount; ++i) {
        const std::string id = makeId(random);
        JobSpec spec;
        spec.taskMs = taskMs;
        spec.cpu = 2000;
        spec.count = 1;
        ledger.submitted(id, spec);
        ++pending;
        std::thread([&, id, spec] {
            const Answer answer =
                    send(first.front(), "POST", "/q/" + id,
                         "Host: shop.example\r\nX-Clementinelift-Deadline-Ms: " + std::to_string(budgetMs) + "\r\n",
                         jobBody(spec, "print " + id), budgetMs);
            record.line("client POST job=%s at=%s status=%d body=%s", id.c_str(), first.name().c_str(), answer.status,
                        answer.body.c_str());
            --pending;
        }).detach();
        ++pending;
        std::thread([&, id] {
            std::this_thread::sleep_for(Ms(1000));
            begun += ledger.activeOf(id) > 0 ? 1 : 0;
            // The platform selects the machine of a new channel by a hash of the client over those in rotation.
            const Machine &reached = isTrouble ? added : first;
            const Answer answer = send(reached.front(), "DELETE", "/q/" + id, "Host: shop.example\r\n", "", 4000);
            record.line("client DELETE job=%s at=%s status=%d body=%s", id.c_str(), reached.name().c_str(),
                        answer.status, answer.body.c_str());
            if (answer.status != 410 && answer.status / 100 != 2) {
                ++unacknowledged;
            } else {
                std::this_thread::sleep_for(Ms(cancelMs + stopMs));
                const int active = ledger.activeOf(id);
                if (active > 0) {
                    ++ranOn;
                    record.line("BROKEN UNASKED job=%s runs on %ld ms after its cancelling was acknowledged",
                                id.c_str(), static_cast<long>(cancelMs + stopMs));
                }
            }
            --pending;
        }).detach();
    }
    while (pending > 0)
        std::this_thread::sleep_for(Ms(10));
    machines.clear();
    minions.clear();
    store.stop();
    std::filesystem::remove_all(scratch);
    record.line("jobs=%d begun=%d cancels_without_acknowledgement=%d ran_on=%d", jobCount, begun.load(),
                unacknowledged.load(), ranOn.load());
    std::cout << "jobs=" << jobCount << " begun=" << begun << " cancels_without_acknowledgement=" << unacknowledged
              << " ran_on=" << ranOn << '\n';
    if (begun < jobCount || unacknowledged > 0)
        return 2;
    return ranOn > 0 ? 1 : 0;
}
