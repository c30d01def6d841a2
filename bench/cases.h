// The cases of the policy benchmark: pools, arrivals and faults from a seed.
//
// Contents
//   Case        a workload and what is expected of it
//   makeCases   all cases, in the order of the report
#pragma once

#include "bench/simulation.h"

#include <functional>

namespace clementinelift::bench {

struct Case
{
    Workload work;
    double load = 0;       // of the capacity of the healthy pool
    bool steady = false;   // compared with the central queue
    bool dip = false;      // goodput of the unaffected groups and recovery are checked
    std::string quietCase; // the same arrivals of organisation 1 without the burst of organisation 0
};

namespace detail {

constexpr std::uint32_t backendCount = 50;
constexpr std::int64_t warmupS = 20;
constexpr std::int64_t endS = 80;
constexpr double spread = 4; // slowest over fastest backend server

struct Kind // of task
{
    const char *name;
    double leastMs; // size on the fastest backend server
    double mostMs;
    double share; // of jobs
    Repeat repeat;
};

// On the fastest backend server; the mean backend server takes about twice as long.
constexpr std::array<Kind, 4> kinds = {
        Kind{"quote", 25, 100, 0.45, Repeat::Allowed}, Kind{"stock", 50, 250, 0.33, Repeat::Allowed},
        Kind{"reorder", 100, 500, 0.20, Repeat::Never}, Kind{"proof", 1000, 2500, 0.02, Repeat::Allowed}};

inline double unit(std::mt19937_64 &random)
{
    return static_cast<double>(random() >> 11) * 0x1p-53;
}

inline double logUniform(std::mt19937_64 &random, double least, double most)
{
    return least * std::pow(most / least, unit(random));
}

inline double meanOf(const Kind &kind)
{
    return (kind.mostMs - kind.leastMs) / std::log(kind.mostMs / kind.leastMs);
}

} // namespace detail

struct CaseOptions
{
    std::string name;
    std::uint64_t seed = 1;
    double load = 0.7;
    std::uint32_t nodes = 6;
    std::uint32_t zones = 3;
    std::uint32_t rackSize = 8;
    double responseWeight = 0.5;
    double declaredSpread = 1; // declared times are off by up to this factor, both ways
    double stragglerShare = 0;
    double stragglerStretch = 10;
    std::function<double(std::uint32_t organisation, double second)> intensity; // of arrivals, 1: as load says
};

inline Workload makeWorkload(const CaseOptions &options)
{
    using namespace detail;
    Workload work;
    work.name = options.name;
    work.seed = options.seed;
    work.warmupUs = warmupS * usPerS;
    work.endUs = endS * usPerS;
    const auto zoneName = [](std::uint32_t zone) { return "z" + std::to_string(zone + 1); };
    for (std::uint32_t i = 0; i < options.nodes; ++i)
        work.nodes.push_back(
                NodeInfo{"e-" + std::to_string(i + 1), "", zoneName(i % options.zones), Incarnation(i + 1), false});
    std::mt19937_64 random(options.seed);
    std::vector<double> factors;
    for (std::uint32_t i = 0; i < backendCount; ++i)
        factors.push_back(std::pow(spread, static_cast<double>(i) / (backendCount - 1)));
    for (std::uint32_t i = backendCount; i-- > 1;)
        std::swap(factors[i], factors[random() % (i + 1)]);
    for (std::uint32_t i = 0; i < backendCount; ++i) {
        SimBackend backend;
        backend.rack = i / options.rackSize;
        backend.factor = factors[i];
        backend.info.name = "b-" + std::to_string(i + 1);
        backend.info.zone = zoneName(backend.rack % options.zones);
        backend.info.rack = "r" + std::to_string(backend.rack);
        work.capacity += backend.info.slots / backend.factor;
        work.backends.push_back(backend);
    }
    double meanUs = 0;
    for (const Kind &kind : kinds) {
        TemplateParameters parameters;
        parameters.repeat = kind.repeat;
        parameters.runMs = static_cast<std::uint32_t>(2 * meanOf(kind));
        work.entries.emplace_back(std::string("template/") + kind.name, parameters);
        meanUs += kind.share * meanOf(kind) * usPerMs;
    }
    for (const char *name : {"north", "south"}) {
        OrganisationParameters parameters;
        parameters.concurrency = 400;
        parameters.responseWeight = options.responseWeight;
        work.entries.emplace_back(std::string("organisation/") + name, parameters);
    }
    // Arrivals of each organisation come from their own generator, so that a burst of one leaves the other's unchanged.
    constexpr double tasksPerJob = 1 + 0.1 * 5.0; // one job in ten has 2 to 10 tasks
    for (std::uint32_t organisation = 0; organisation < 2; ++organisation) {
        std::mt19937_64 arrivals(options.seed * 7919 + organisation);
        const double jobsPerUs = options.load * work.capacity / meanUs / tasksPerJob / 2;
        double atUs = 0;
        while (true) {
            const double boost = options.intensity ? options.intensity(organisation, atUs / usPerS) : 1;
            atUs += -std::log(1 - unit(arrivals)) / (jobsPerUs * boost);
            if (atUs >= static_cast<double>(work.endUs))
                break;
            SimJob job;
            job.atUs = static_cast<std::int64_t>(atUs);
            job.node = static_cast<std::uint32_t>(arrivals() % options.nodes);
            job.organisation = organisation;
            double pick = unit(arrivals);
            while (job.templateId + 1 < kinds.size() && pick >= kinds[job.templateId].share)
                pick -= kinds[job.templateId++].share;
            const Kind &kind = kinds[job.templateId];
            const std::uint64_t tasks = arrivals() % 10 == 0 ? 2 + arrivals() % 9 : 1;
            for (std::uint64_t i = 0; i < tasks; ++i) {
                SimTask task;
                task.sizeUs = logUniform(arrivals, kind.leastMs, kind.mostMs) * usPerMs;
                task.luck = unit(arrivals);
                const bool isStraggler = unit(arrivals) < options.stragglerShare;
                task.stretch = isStraggler ? options.stragglerStretch : 1;
                const double off = logUniform(arrivals, 1 / options.declaredSpread, options.declaredSpread);
                if (options.declaredSpread > 1)
                    task.declaredMs = static_cast<std::uint32_t>(std::max(1.0, 2 * meanOf(kind) * off));
                job.tasks.push_back(task);
            }
            work.jobs.push_back(std::move(job));
        }
    }
    std::stable_sort(work.jobs.begin(), work.jobs.end(),
                     [](const SimJob &a, const SimJob &b) { return a.atUs < b.atUs; });
    return work;
}

inline std::vector<std::uint32_t> membersOf(const Workload &work, std::initializer_list<std::uint32_t> racks)
{
    std::vector<std::uint32_t> members;
    for (std::uint32_t i = 0; i < work.backends.size(); ++i)
        if (std::find(racks.begin(), racks.end(), work.backends[i].rack) != racks.end())
            members.push_back(i);
    return members;
}

inline Case steadyCase(const std::string &name, double load, std::uint32_t nodes, double responseWeight = 0.5)
{
    CaseOptions options;
    options.name = name;
    options.load = load;
    options.nodes = nodes;
    options.zones = std::min(nodes, 3u);
    options.responseWeight = responseWeight;
    return Case{makeWorkload(options), load, true, false, {}};
}

inline Case dipCase(const std::string &name, double load, std::initializer_list<std::uint32_t> racks,
                    std::uint32_t rackSize)
{
    CaseOptions options;
    options.name = name;
    options.load = load;
    options.rackSize = rackSize;
    options.zones = rackSize == 8 ? 3 : 4;
    options.nodes = rackSize == 8 ? 6 : 8;
    Case spec{makeWorkload(options), load, false, true, {}};
    Fault fault;
    fault.backends = membersOf(spec.work, racks);
    fault.fromUs = 40 * usPerS;
    fault.toUs = 50 * usPerS;
    fault.slowdown = 5;
    fault.failShare = 0.7;
    fault.feed = true;
    spec.work.faults.push_back(fault);
    return spec;
}

inline std::vector<Case> makeCases()
{
    std::vector<Case> cases;
    for (const std::uint32_t nodes : {6u, 1u, 3u})
        for (const int percent : {50, 70, 85, 95}) {
            if (nodes != 6 && percent != 85 && percent != 50)
                continue;
            cases.push_back(steadyCase("steady " + std::to_string(percent) + "% vm" + std::to_string(nodes),
                                       percent / 100.0, nodes));
        }
    for (const double weight : {0.0, 1.0})
        for (const int percent : {50, 70, 85})
            cases.push_back(steadyCase("weight " + std::to_string(static_cast<int>(weight)) + " "
                                               + std::to_string(percent) + "%",
                                       percent / 100.0, 6, weight));

    CaseOptions burst;
    burst.name = "burst";
    burst.load = 0.6;
    burst.intensity = [](std::uint32_t, double second) { return second >= 40 && second < 44 ? 2.5 : 1; };
    cases.push_back(Case{makeWorkload(burst), burst.load, false, false, {}});

    cases.push_back(dipCase("dip one rack", 0.7, {1}, 8));
    cases.push_back(dipCase("dip three racks", 0.7, {1, 2, 4}, 8));
    cases.push_back(dipCase("dip two racks of 6", 0.7, {0, 5}, 6));

    CaseOptions failing;
    failing.name = "fail everything";
    Case fails{makeWorkload(failing), failing.load, false, false, {}};
    Fault all;
    all.backends = {3, 17, 18, 31, 44};
    all.fromUs = 30 * usPerS;
    all.toUs = 60 * usPerS;
    all.failShare = 1;
    all.failAfter = 0.05;
    fails.work.faults.push_back(all);
    cases.push_back(std::move(fails));

    CaseOptions stragglers;
    stragglers.name = "stragglers";
    stragglers.load = 0.6;
    stragglers.stragglerShare = 0.02;
    cases.push_back(Case{makeWorkload(stragglers), stragglers.load, false, false, {}});

    CaseOptions misdeclared;
    misdeclared.name = "misdeclared sizes";
    misdeclared.declaredSpread = 10;
    cases.push_back(Case{makeWorkload(misdeclared), misdeclared.load, false, false, {}});

    CaseOptions wave;
    wave.name = "cancellation wave";
    wave.load = 0.9;
    wave.intensity = [](std::uint32_t, double second) { return second >= 36 && second < 40 ? 1.6 : 1; };
    Case cancelled{makeWorkload(wave), wave.load, false, false, {}};
    for (SimJob &job : cancelled.work.jobs)
        if (job.organisation == 0 && job.atUs >= 35 * usPerS && job.atUs < 40 * usPerS)
            job.cancelUs = 40 * usPerS;
    cases.push_back(std::move(cancelled));

    CaseOptions quiet;
    quiet.name = "organisation quiet";
    quiet.load = 0.6;
    cases.push_back(Case{makeWorkload(quiet), quiet.load, false, false, {}});
    CaseOptions loud = quiet;
    loud.name = "organisation burst";
    loud.intensity = [](std::uint32_t organisation, double second) {
        return organisation == 0 && second >= 40 && second < 46 ? 6 : 1;
    };
    cases.push_back(Case{makeWorkload(loud), loud.load, false, false, "organisation quiet"});
    return cases;
}

} // namespace clementinelift::bench
