// Two of four machines are lost and replaced again and again, and at last the other two. At the end all processes are
// killed and start again.
//
// Usage: recover-after-replacements FOLDER TROUBLE [SEED]. Exit status: 0 rule held, 1 broken, 2 could not run.
#include "world.h"

using namespace review;

namespace {

constexpr int machineCount = 4;
constexpr int replacedAtOnce = 2;
constexpr int replacements = 86;
constexpr std::int64_t readyLimitMs = 5000;
constexpr std::int64_t settledMs = 27000;   // the machines that have come last serve without those of the beginning
constexpr std::int64_t loadBeforeMs = 4000; // before the final fault
constexpr std::int64_t downMs = 1200;
constexpr std::int64_t recoveryMs = 12000;
constexpr std::int64_t loadAfterMs = 21000; // after the machines are back
constexpr std::int64_t submitGapMs = 50;

enum class Part { Before, Recovering, Recovered };

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
            std::filesystem::temp_directory_path() / ("recover-after-replacements-" + std::to_string(getpid()));
    std::filesystem::create_directories(scratch);

    Store store(8);
    store.put(
            "keyed.op", "config",
            R"({"version":7,"routes":[{"name":"q","host":"shop.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":1500,"targetCompletionMs":60,"priority":0,"service":"svc","maxAttempts":3,"stretch":1.6}],"services":[{"name":"svc","rejectsOverload":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}})");
    const std::string storeAddress = addresses.ip(200) + ":8169";
    if (!store.start(storeAddress))
        return 2;
    std::list<Minion> minions;
    for (int i = 0; i < 8; ++i) {
        minions.emplace_back("i-" + std::to_string(i), "zone-a", addresses.ip(210 + i) + ":8080", true, store, ledger,
                             record);
        if (!minions.back().begin({"a", "r1-1", 16000, 32768}))
            return 2;
    }
    std::list<Machine> machines;
    int created = 0;
    const auto addMachine = [&] {
        ++created;
        machines.emplace_back("front-zone-a-" + std::to_string(1000 + created), "zone-a", addresses.ip(created),
                              scratch, storeAddress);
        machines.back().start();
        record.line("machine %s begins at %s", machines.back().name().c_str(), machines.back().front().c_str());
    };
    const auto areReady = [&](std::int64_t limitMs) {
        return std::all_of(machines.begin(), machines.end(),
                           [&](const Machine &machine) { return machine.waitUntilReady(limitMs); });
    };
    for (int i = 0; i < machineCount; ++i)
        addMachine();
    if (!areReady(15000))
        return 2;
    std::this_thread::sleep_for(Ms(2000));

    int notReady = 0;
    const auto replace = [&](std::ptrdiff_t first) {
        for (int i = 0; i < replacedAtOnce; ++i) {
            const auto lost = std::next(machines.begin(), first);
            record.line("machine %s is gone for good", lost->name().c_str());
            machines.erase(lost);
        }
        for (int i = 0; i < replacedAtOnce; ++i)
            addMachine();
        notReady += areReady(readyLimitMs) ? 0 : 1;
    };
    if (isTrouble) {
        for (int replaced = 0; replaced < replacements; replaced += replacedAtOnce)
            replace(machineCount - replacedAtOnce);
        std::this_thread::sleep_for(Ms(settledMs));
        replace(0);
    }
    record.line("replaced=%d rounds_without_all_ready=%d", isTrouble ? replacements + replacedAtOnce : 0, notReady);

    std::mutex mutex;
    std::map<Part, int> sent;
    std::map<Part, int> served;
    std::atomic<int> pending = 0;
    const auto load = [&](std::int64_t lengthMs, const auto &partAt) {
        const auto begin = Clock::now();
        for (std::size_t i = 0; Clock::now() - begin < Ms(lengthMs); ++i) {
            const Part part = partAt(std::chrono::duration_cast<Ms>(Clock::now() - begin).count());
            const std::string id = makeId(random);
            const std::string front =
                    std::next(machines.begin(), static_cast<std::ptrdiff_t>(i % machines.size()))->front();
            JobSpec spec;
            spec.cpu = 4000;
            spec.count = 2;
            spec.taskMs = 100;
            ledger.submitted(id, spec);
            ++pending;
            std::thread([&, id, front, spec, part] {
                const Answer answer =
                        send(front, "POST", "/q/" + id, "Host: shop.example\r\nX-Clementinelift-Deadline-Ms: 1500\r\n",
                             jobBody(spec, "print " + id), 1500);
                record.line("client job=%s at=%s status=%d body=%s", id.c_str(), front.c_str(), answer.status,
                            answer.body.c_str());
                const std::lock_guard lock(mutex);
                ++sent[part];
                served[part] += answer.status == 200 ? 1 : 0;
                --pending;
            }).detach();
            std::this_thread::sleep_for(Ms(submitGapMs));
        }
    };
    load(loadBeforeMs, [](std::int64_t) { return Part::Before; });
    record.line("all processes are killed");
    for (Machine &machine : machines)
        machine.kill(SIGKILL);
    std::this_thread::sleep_for(Ms(downMs));
    for (Machine &machine : machines)
        machine.start();
    record.line("the machines are back");
    load(loadAfterMs, [](std::int64_t ms) { return ms > recoveryMs ? Part::Recovered : Part::Recovering; });
    while (pending > 0)
        std::this_thread::sleep_for(Ms(10));
    const auto share = [&](Part part) { return static_cast<double>(served[part]) / std::max(sent[part], 1); };
    machines.clear();
    minions.clear();
    store.stop();
    std::filesystem::remove_all(scratch);
    const bool isBroken = share(Part::Before) >= 0.25 && share(Part::Recovered) < 0.25;
    if (isBroken)
        record.line("BROKEN RECOVER");
    record.line("served_before=%d/%d served_in_first_12_s=%d/%d served_later=%d/%d", served[Part::Before],
                sent[Part::Before], served[Part::Recovering], sent[Part::Recovering], served[Part::Recovered],
                sent[Part::Recovered]);
    std::cout << "served_before=" << served[Part::Before] << '/' << sent[Part::Before]
              << " served_in_first_12_s=" << served[Part::Recovering] << '/' << sent[Part::Recovering]
              << " served_later=" << served[Part::Recovered] << '/' << sent[Part::Recovered] << '\n';
    if (share(Part::Before) < 0.25)
        return 2;
    return isBroken ? 1 : 0;
}
