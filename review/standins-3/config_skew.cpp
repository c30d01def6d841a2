// One of two commanders is partitioned from the store, and a configuration adds a route. A front machine, which has
// read the configuration, hands requests of the new route to both commanders.
//
// Usage: config-skew FOLDER TROUBLE [SEED]. Exit status: 0 rule held, 1 broken, 2 could not run.
#include "world.h"

#include <optional>

using namespace review;

namespace {

constexpr std::int64_t rollbackSlackMs = 250;
constexpr std::int64_t cutBeforeMs = 1000; // before the configuration
constexpr std::int64_t cutMs = 4000;
constexpr std::int64_t submitGapMs = 25;
constexpr std::int64_t lengthMs = 6000;

std::string configuration(int version, bool hasNewRoute)
{
    const auto route = [](const char *name, const char *prefix) {
        return Json{{"name", name},     {"host", "shop.example"}, {"pathPrefix", prefix},
                    {"kind", "unsafe"}, {"timeoutMs", 1500},      {"targetCompletionMs", 60},
                    {"priority", 0},    {"service", "svc"},       {"maxAttempts", 3},
                    {"stretch", 1.6}};
    };
    Json routes = Json::array({route("old", "/old/")});
    if (hasNewRoute)
        routes.push_back(route("new", "/new/"));
    return Json{{"version", version},
                {"routes", routes},
                {"services", Json::array({Json{{"name", "svc"}, {"rejectsOverload", true}, {"standby", false}}})},
                {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}}}}
            .dump();
}

struct Sent
{
    std::string job;
    double sentMs = 0;
    int status = 0;
};

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
    const std::string scratch = std::filesystem::temp_directory_path() / ("config-skew-" + std::to_string(getpid()));
    std::filesystem::create_directories(scratch);

    Store store(8);
    store.put("keyed.op", "config", configuration(7, false));
    const std::string storeAddress = addresses.ip(200) + ":8169";
    const std::string gateAddress = addresses.ip(201) + ":8169";
    if (!store.start(storeAddress) || !store.openGate(gateAddress))
        return 2;
    std::list<Minion> minions;
    for (int i = 0; i < 8; ++i) {
        minions.emplace_back("i-" + std::to_string(i), "zone-a", addresses.ip(100 + i) + ":8080", true, store, ledger,
                             record);
        if (!minions.back().begin({"a", "r1-1", 16000, 32768}))
            return 2;
    }
    std::list<Machine> machines;
    machines.emplace_back("front-zone-a-1", "zone-a", addresses.ip(1), scratch, storeAddress, 0.5);
    machines.emplace_back("front-zone-a-2", "zone-a", addresses.ip(2), scratch, gateAddress, 0.5);
    machines.emplace_back("front-zone-a-3", "zone-a", addresses.ip(3), scratch, storeAddress, 0.12);
    for (Machine &machine : machines)
        machine.start();
    for (const Machine &machine : machines) {
        if (!machine.waitUntilReady(15000)) {
            std::cerr << "not ready: " << machine.name() << '\n';
            return 2;
        }
    }
    std::this_thread::sleep_for(Ms(2500));

    std::mutex mutex;
    std::vector<Sent> answered;
    std::atomic<int> pending = 0;
    const std::string front = machines.back().front();
    const auto submit = [&](const std::string &prefix) {
        const std::string id = makeId(random);
        JobSpec spec;
        spec.taskMs = 60;
        spec.cpu = 2000;
        spec.count = 2;
        ledger.submitted(id, spec);
        ++pending;
        std::thread([&, id, prefix, spec] {
            const double sentMs = record.ms();
            const Answer answer =
                    send(front, "POST", prefix + id, "Host: shop.example\r\nX-Clementinelift-Deadline-Ms: 1500\r\n",
                         jobBody(spec, "print " + id), 1500);
            record.line("client path=%s%s sent_ms=%.1f status=%d body=%s", prefix.c_str(), id.c_str(), sentMs,
                        answer.status, answer.body.c_str());
            const std::lock_guard lock(mutex);
            if (prefix == "/new/")
                answered.push_back({id, sentMs, answer.status});
            --pending;
        }).detach();
    };
    for (int i = 0; i < 20; ++i) {
        submit("/old/");
        std::this_thread::sleep_for(Ms(submitGapMs));
    }
    if (isTrouble) {
        record.line("front-zone-a-2 is partitioned from the store");
        store.closeGate();
    }
    std::this_thread::sleep_for(Ms(cutBeforeMs));
    store.put("keyed.op", "config", configuration(9, true));
    record.line("operator configuration version=9 acknowledged");
    const auto begin = Clock::now();
    bool isCut = isTrouble;
    while (Clock::now() - begin < Ms(lengthMs)) {
        submit("/new/");
        std::this_thread::sleep_for(Ms(submitGapMs));
        if (isCut && Clock::now() - begin > Ms(cutMs - cutBeforeMs)) {
            isCut = false;
            record.line("the partition has healed");
            if (!store.openGate(gateAddress))
                return 2;
        }
    }
    while (pending > 0)
        std::this_thread::sleep_for(Ms(10));

    // The first effect that a minion saw of a request which front-zone-a-3 had taken.
    double effectMs = 1e18;
    int completed = 0;
    for (const Sent &sent : answered) {
        const std::optional<double> started = ledger.firstStartOf(sent.job);
        effectMs = std::min(effectMs, started.value_or(1e18));
        completed += sent.status == 200 ? 1 : 0;
    }
    int regressions = 0;
    double lastMs = 0;
    for (const Sent &sent : answered) {
        if (sent.status != 404 || sent.sentMs <= effectMs + rollbackSlackMs)
            continue;
        ++regressions;
        lastMs = std::max(lastMs, sent.sentMs - effectMs);
        record.line("BROKEN CONFIG job=%s sent %.0f ms after a minion saw version 9, answered 404", sent.job.c_str(),
                    sent.sentMs - effectMs);
    }
    machines.clear();
    minions.clear();
    store.stop();
    std::filesystem::remove_all(scratch);
    record.line("requests=%zu completed=%d regressions=%d last_after_ms=%.0f", answered.size(), completed, regressions,
                lastMs);
    std::cout << "requests=" << answered.size() << " completed=" << completed << " regressions=" << regressions
              << " last_after_ms=" << lastMs << '\n';
    if (completed == 0)
        return 2;
    return regressions > 0 ? 1 : 0;
}
