// Minions crash one after the other and start again under their ids as a smaller kind. Their service does not reject
// overload, so the system alone keeps a minion within its capacity.
//
// Usage: reborn-kind FOLDER TROUBLE [SEED]. Exit status: 0 rule held, 1 broken, 2 could not run.
#include "world_3.h"

#include <optional>

using namespace review;

namespace {

constexpr int minionCount = 8;
constexpr int largeCount = 6;
constexpr std::int64_t settleMs = 4000;
constexpr std::int64_t downMs = 1000;
constexpr std::int64_t crashGapMs = 4000;
constexpr std::int64_t submitGapMs = 24;
constexpr std::int64_t lengthMs = 29000;
const MinionKind small{"a", "r1-1", 8000, 16384};
const MinionKind large{"b", "r1-1", 12000, 24576};

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
    const std::string scratch = std::filesystem::temp_directory_path() / ("reborn-kind-" + std::to_string(getpid()));
    std::filesystem::create_directories(scratch);

    Store store(8);
    store.put(
            "keyed.op", "config",
            R"({"version":7,"routes":[{"name":"q","host":"shop.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":1500,"targetCompletionMs":60,"priority":0,"service":"svc","maxAttempts":3,"stretch":1.6}],"services":[{"name":"svc","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}})");
    if (!store.start(addresses.ip(200) + ":8169"))
        return 2;
    std::list<Minion> minions;
    for (int i = 0; i < minionCount; ++i) {
        minions.emplace_back("i-" + std::to_string(i), "zone-a", addresses.ip(100 + i) + ":8080", false, store, ledger,
                             record);
        if (!minions.back().begin(i < largeCount ? large : small))
            return 2;
    }
    std::list<Machine> machines;
    for (int i = 0; i < 2; ++i) {
        machines.emplace_back("front-zone-a-" + std::to_string(i + 1), "zone-a", addresses.ip(1 + i), scratch,
                              addresses.ip(200) + ":8169");
        machines.back().start();
    }
    for (const Machine &machine : machines) {
        if (!machine.waitUntilReady(15000)) {
            std::cerr << "not ready: " << machine.name() << '\n';
            return 2;
        }
    }
    std::this_thread::sleep_for(Ms(1500));

    std::atomic<int> completed = 0;
    std::atomic<int> other = 0;
    std::atomic<int> pending = 0;
    const auto begin = Clock::now();
    std::thread faults([&] {
        std::this_thread::sleep_for(Ms(settleMs));
        for (int i = 0; i < largeCount && isTrouble; ++i) {
            Minion &minion = *std::next(minions.begin(), i);
            minion.crash();
            std::this_thread::sleep_for(Ms(downMs));
            if (!minion.begin(small))
                std::exit(2);
            std::this_thread::sleep_for(Ms(crashGapMs - downMs));
        }
    });
    int jobs = 0;
    while (Clock::now() - begin < Ms(lengthMs)) {
        const std::string id = makeId(random);
        const std::string front = std::next(machines.begin(), jobs++ % 2)->front();
        JobSpec spec;
        spec.cpu = 4000;
        spec.count = 2;
        spec.taskMs = 300;
        ledger.submitted(id, spec);
        ++pending;
        std::thread([&, id, front, spec] {
            const Answer answer =
                    send(front, "POST", "/q/" + id, "Host: shop.example\r\nX-Clementinelift-Deadline-Ms: 1500\r\n",
                         jobBody(spec, "print " + id), 1500);
            record.line("client job=%s status=%d body=%s", id.c_str(), answer.status, answer.body.c_str());
            ++(answer.status == 200 ? completed : other);
            --pending;
        }).detach();
        std::this_thread::sleep_for(Ms(submitGapMs));
    }
    faults.join();
    while (pending > 0)
        std::this_thread::sleep_for(Ms(10));
    int overloads = 0;
    for (const Minion &minion : minions)
        overloads += minion.overloads();
    machines.clear();
    minions.clear();
    store.stop();
    std::filesystem::remove_all(scratch);
    record.line("jobs=%d completed=%d other=%d starts=%d overlaps=%d starts_over_capacity=%d", jobs, completed.load(),
                other.load(), ledger.starts(), ledger.overlaps(), overloads);
    std::cout << "jobs=" << jobs << " completed=" << completed << " other=" << other << " starts=" << ledger.starts()
              << " starts_over_capacity=" << overloads << '\n';
    if (completed == 0)
        return 2;
    return overloads > 0 ? 1 : 0;
}
