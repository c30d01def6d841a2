// A minion loses power for a moment, is given a start that it carries out late, and the machine of the system that gave
// the start is paused, or its process killed, before it can notice. The client sends its job again, to a machine of
// another zone.
//
// Usage: late-start-unknown FOLDER TROUBLE pause|kill [SEED]. Exit status: 0 rule held, 1 broken, 2 could not run.
#include "world_3.h"

#include <numeric>

using namespace review;

namespace {

constexpr std::int64_t darkMs = 200;
constexpr std::int64_t lateAfterPauseMs = 3000;
constexpr std::int64_t lateAfterKillMs = 2100;
constexpr std::int64_t pauseMs = 3600;
constexpr std::int64_t downMs = 800; // of a killed process
constexpr std::int64_t budgetMs = 1500;
constexpr std::int64_t resendMs = 1300;
constexpr std::int64_t taskMs = 1200;
constexpr int warmUpJobs = 30;

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argc > 1 ? argv[1] : ".";
    const bool isTrouble = argc <= 2 || std::string(argv[2]) != "0";
    const bool isKill = argc > 3 && std::string(argv[3]) == "kill";
    std::mt19937_64 random(argc > 4 ? std::stoul(argv[4]) : std::random_device()());
    Record record(folder + "/record.txt");
    Ledger ledger(record);
    const Addresses addresses(random);
    const std::string scratch =
            std::filesystem::temp_directory_path() / ("late-start-unknown-" + std::to_string(getpid()));
    std::filesystem::create_directories(scratch);

    Store store(8);
    store.put(
            "keyed.op", "config",
            R"({"version":7,"routes":[{"name":"q","host":"shop.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":1500,"targetCompletionMs":60,"priority":0,"service":"svc","maxAttempts":3,"stretch":1.6}],"services":[{"name":"svc","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}})");
    const std::string storeAddress = addresses.ip(200) + ":8169";
    if (!store.start(storeAddress))
        return 2;
    // Zone a has one machine, as mangalia-pier has, and here one minion; the others are in zone b.
    std::list<Minion> minions;
    for (int i = 0; i < 8; ++i) {
        minions.emplace_back("i-" + std::to_string(i), i == 0 ? "zone-a" : "zone-b", addresses.ip(100 + i) + ":8080",
                             true, store, ledger, record);
        if (!minions.back().begin({"a", "r1-1", 16000, 32768}))
            return 2;
    }
    Minion &minion = minions.front();
    std::list<Machine> machines;
    for (int i = 0; i < 3; ++i) {
        const std::string zone = i == 0 ? "zone-a" : "zone-b";
        machines.emplace_back("front-" + zone + "-" + std::to_string(i), zone, addresses.ip(1 + i), scratch,
                              storeAddress);
        machines.back().start();
    }
    for (const Machine &machine : machines) {
        if (!machine.waitUntilReady(15000))
            return 2;
    }
    std::this_thread::sleep_for(Ms(2500));
    Machine &first = machines.front();
    Machine &other = machines.back();

    const auto submit = [&](const Machine &machine, const std::string &id, const JobSpec &spec) {
        const Answer answer =
                send(machine.front(), "POST", "/q/" + id,
                     "Host: shop.example\r\nX-Clementinelift-Deadline-Ms: " + std::to_string(budgetMs) + "\r\n",
                     jobBody(spec, "print " + id), budgetMs);
        record.line("client job=%s at=%s status=%d body=%s", id.c_str(), machine.name().c_str(), answer.status,
                    answer.body.c_str());
        return answer.status;
    };
    const auto makeJob = [&](std::int64_t runMs, int count) {
        JobSpec spec;
        spec.taskMs = runMs;
        spec.cpu = 2000;
        spec.count = count;
        return spec;
    };
    std::list<std::thread> clients;
    for (int i = 0; i < warmUpJobs; ++i) {
        const std::string id = makeId(random);
        const JobSpec spec = makeJob(60, 1);
        ledger.submitted(id, spec);
        submit(*std::next(machines.begin(), i % 3), id, spec);
    }
    std::this_thread::sleep_for(Ms(600));

    // A job at work on the minion, so that a hold is open.
    const std::string before = makeId(random);
    const JobSpec beforeSpec = makeJob(1200, 1);
    ledger.submitted(before, beforeSpec);
    clients.emplace_back([&] { submit(first, before, beforeSpec); });
    std::this_thread::sleep_for(Ms(500));
    const bool hadRun = minion.running() > 0;
    if (isTrouble) {
        minion.losePower();
        std::this_thread::sleep_for(Ms(darkMs));
        if (!minion.begin({"a", "r1-1", 16000, 32768}, false))
            return 2;
    }
    const std::string id = makeId(random);
    const JobSpec spec = makeJob(taskMs, 6);
    ledger.submitted(id, spec);
    if (isTrouble)
        minion.delayStart(id, isKill ? lateAfterKillMs : lateAfterPauseMs);
    clients.emplace_back([&] {
        if (submit(first, id, spec) == 200)
            return;
        std::this_thread::sleep_for(Ms(resendMs));
        submit(other, id, spec);
    });
    bool isHit = false;
    if (isTrouble) {
        const auto until = Clock::now() + Ms(140);
        while (!minion.hasDelayedStart() && Clock::now() < until)
            std::this_thread::sleep_for(Ms(1));
        isHit = minion.hasDelayedStart();
        record.line("machine %s is %s", first.name().c_str(), isKill ? "killed" : "paused");
        if (isKill)
            first.kill(SIGKILL);
        else
            first.signal(SIGSTOP);
        std::this_thread::sleep_for(Ms(isKill ? downMs : pauseMs));
        if (isKill)
            first.start();
        else
            first.signal(SIGCONT);
        record.line("machine %s goes on", first.name().c_str());
    }
    for (std::thread &client : clients)
        client.join();
    std::this_thread::sleep_for(Ms(3000));
    const int orders = std::accumulate(minions.begin(), minions.end(), 0,
                                       [](int sum, const Minion &entry) { return sum + entry.orders(); });
    const int starts = ledger.startsOf(id);
    machines.clear();
    minions.clear();
    store.stop();
    std::filesystem::remove_all(scratch);
    record.line("starts_of_the_job=%d runs_at_the_same_time=%d orders=%d had_run=%d hit_in_time=%d", starts,
                ledger.overlaps(), orders, hadRun ? 1 : 0, isHit ? 1 : 0);
    std::cout << "starts_of_the_job=" << starts << " runs_at_the_same_time=" << ledger.overlaps()
              << " orders=" << orders << " had_run=" << hadRun << " hit_in_time=" << isHit << '\n';
    if (!hadRun || starts == 0 || (isTrouble && !isHit))
        return 2;
    return ledger.overlaps() > 0 ? 1 : 0;
}
