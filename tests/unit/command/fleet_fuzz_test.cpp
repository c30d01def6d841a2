// Random faults in the simulation. The test oracle checks that two runs of a task never overlap and that nothing of a
// refused job has run; once the faults are over, all jobs must complete again.
#include "unit/command/fleet_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace clementinelift::command {
namespace {

constexpr TimeUs faultsUs = 15 * usPerS;
constexpr TimeUs settleUs = 15 * usPerS;

struct Resubmission
{
    WorldJob job;
    CallerId caller{};
};

// Every third seed has small entry VMs that forward their jobs.
std::vector<WorldZone> makeZones(std::uint64_t seed)
{
    if (seed % 3 == 0)
        return {{"a", 4, 5, {500, 300, 90, 90}}, {"b", 4, 5, {500, 500, 90, 90}}};
    return {{"a", 2, 5}, {"b", 2, 5}};
}

// One run: constant load with a fault about every 300 ms, then a time without faults.
class FaultRun
{
public:
    explicit FaultRun(std::uint64_t seed, bool bindsOrders)
        : m_world({.zones = makeZones(seed),
                   .speeds = {0.6, 1.0, 1.6},
                   .bindsOrders = bindsOrders,
                   .seed = seed,
                   .trace = std::getenv("FLEET_FUZZ_TRACE") != nullptr})
    {}

    void simulate()
    {
        m_world.start();
        const TimeUs faultsEnd = m_world.now() + faultsUs;
        while (m_world.now() < faultsEnd) {
            submitSome();
            if (chance(0.06))
                injectFault();
            m_world.runFor(20 * usPerMs);
        }
        heal();
        m_world.runFor(settleUs);
        for (int i = 0; i < 10; ++i) {
            WorldJob job = makeJob();
            job.tasks = 2;
            job.workUs = 50 * usPerMs;
            m_finalCallers.push_back(m_world.submit(pick(m_world.nodeCount()), job));
            m_world.runFor(100 * usPerMs);
        }
        m_world.runFor(2 * usPerS);
    }

    FleetWorld &world() { return m_world; }
    const std::vector<CallerId> &finalCallers() const { return m_finalCallers; }

private:
    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_world.random()) < share; }
    int pick(int count) { return static_cast<int>(m_world.random()() % static_cast<std::uint64_t>(count)); }

    WorldJob makeJob()
    {
        WorldJob job;
        job.id = makeJobId(++m_lastJob);
        job.tasks = 1 + static_cast<std::uint32_t>(pick(6));
        job.workUs = (20 + pick(3) * pick(400)) * usPerMs;
        job.declaredUs = job.workUs * (5 + pick(12)) / 10;
        job.path = chance(0.3) ? "/l/" : "/q/";
        return job;
    }

    void submitSome()
    {
        const int node = pick(m_world.nodeCount());
        if (!m_world.isUp(node) || !chance(0.5))
            return;
        const WorldJob job = makeJob();
        const CallerId caller = m_world.submit(node, job);
        // Some callers disconnect; others lose their connection and submit the job again 1,300 ms later.
        if (chance(0.15)) {
            m_world.after(pick(300) * usPerMs, [this, node, caller] { m_world.leave(node, caller); });
        } else if (chance(0.3)) {
            const TimeUs brokenAfter = pick(400) * usPerMs;
            m_world.after(brokenAfter, [this, node, caller] { m_world.leave(node, caller); });
            m_world.after(brokenAfter + 1300 * usPerMs, [this, job] {
                const int other = pick(m_world.nodeCount());
                if (m_world.isUp(other))
                    m_world.submit(other, job);
            });
        }
    }

    void injectFault()
    {
        const int node = pick(m_world.nodeCount());
        const int server = pick(m_world.serverCount());
        const TimeUs duration = (300 + pick(3000)) * usPerMs;
        switch (pick(10)) {
        case 0:
            if (!m_world.isUp(node))
                break;
            m_world.kill(node);
            // A new process replaces the killed one.
            m_world.after(duration, [this, node] {
                if (!m_world.isUp(node))
                    m_world.boot(node);
            });
            break;
        case 1:
            m_world.freeze(node, duration);
            break;
        case 2: {
            const int other = (node + 1 + pick(m_world.nodeCount() - 1)) % m_world.nodeCount();
            m_world.cutNodes(node, other, true);
            m_world.after(duration, [this, node, other] { m_world.cutNodes(node, other, false); });
            break;
        }
        case 3:
            m_world.cutServer(node, server, true);
            m_world.after(duration, [this, node, server] { m_world.cutServer(node, server, false); });
            break;
        case 4:
            if (!m_world.server(server).up)
                break;
            m_world.crash(server);
            m_world.after(duration, [this, server] { m_world.reboot(server); });
            break;
        case 5:
            m_world.server(server).unresponsive = true;
            m_world.after(duration, [this, server] { m_world.server(server).unresponsive = false; });
            break;
        case 6:
            m_world.setLostAnswers(0.1, (2 + pick(10)) * usPerS / 4);
            m_world.after(duration, [this] { m_world.setLostAnswers(0, 0); });
            break;
        case 7:
            m_world.assignShards(chance(0.5) ? "a" : "b");
            break;
        case 8:
            m_world.server(server).hanging = true;
            m_world.after(duration, [this, server] { m_world.server(server).hanging = false; });
            break;
        default:
            m_world.drainServer(server, true);
            m_world.after(duration, [this, server] { m_world.drainServer(server, false); });
            break;
        }
    }

    void heal()
    {
        m_world.setLostAnswers(0, 0);
        m_world.runFor(4 * usPerS); // until all faults of limited duration have ended
        for (int node = 0; node < m_world.nodeCount(); ++node) {
            if (!m_world.isUp(node))
                m_world.boot(node);
        }
        m_world.assignShards("a");
        m_world.assignShards("b");
    }

    FleetWorld m_world;
    std::uint64_t m_lastJob = 0;
    std::vector<CallerId> m_finalCallers;
};

// FLEET_FUZZ_SEEDS=FIRST,COUNT runs other seeds; FLEET_FUZZ_TRACE=1 prints log lines and runs.
TEST_CASE("random faults cause no overlapping runs and no false refusals")
{
    std::uint64_t first = 1;
    std::uint64_t runs = 150;
    if (const char *seeds = std::getenv("FLEET_FUZZ_SEEDS"))
        std::sscanf(seeds, "%lu,%lu", &first, &runs);
    const bool bindsOrders = GENERATE(true, false);
    CAPTURE(bindsOrders);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        FaultRun run(seed, bindsOrders);
        run.simulate();
        INFO("seed " << seed << " " << join(run.world().violations()));
        CHECK(join(run.world().violations()).empty());
        CHECK(run.world().starts() > 100);
        for (const CallerId caller : run.finalCallers()) {
            REQUIRE(run.world().answer(caller) != nullptr);
            CHECK(run.world().answer(caller)->kind == AnswerKind::Completed);
        }
    }
}

} // namespace
} // namespace clementinelift::command
