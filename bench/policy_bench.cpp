// Compares the shipped scheduler with baselines and with a perfect central queue, in virtual time. Same bytes on every
// run.
//
//     policy_bench [--quick] [--csv FILE] [--plots DIRECTORY] [--case PREFIX]
//
// Exit status 0: ran; the column "target" says which targets of section 13 of the design are met.

#include "bench/cases.h"
#include "bench/plots.h"
#include "bench/simulation.h"

#include <atomic>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>
#include <thread>

using namespace clementinelift;
using namespace clementinelift::bench;

namespace {

struct Row
{
    std::string caseName;
    std::string policy;
    std::size_t nodes = 0;
    Result result;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double wastedShare = 0;
    double utilisation = 0;
    double worstAttempts = 0; // attempts over first attempts, largest over any 10 s
    std::vector<std::string> targets;
    bool met = true;
};

struct Policy
{
    std::string name;
    std::function<Result(const Workload &)> run;
};

template <SlotPolicy P> Result simulate(const Workload &work)
{
    return Simulation<P>(work).run();
}

const std::vector<Policy> &policies()
{
    static const std::vector<Policy> all = {
            {"central", runCentralQueue},          {"clementinelift", simulate<ExpectedFinish>},
            {"random", simulate<RandomChoice>},    {"round robin", simulate<RoundRobin>},
            {"two choices", simulate<PowerOfTwo>}, {"least outstanding", simulate<LeastOutstanding>},
    };
    return all;
}

double sumOf(const std::vector<double> &seconds, std::int64_t fromS, std::int64_t toS)
{
    double sum = 0;
    for (std::int64_t i = fromS; i < toS && i < static_cast<std::int64_t>(seconds.size()); ++i)
        sum += seconds[static_cast<std::size_t>(i)];
    return sum;
}

double worstAttempts(const Result &result)
{
    constexpr std::size_t window = 10; // seconds
    double worst = 1;
    for (std::size_t end = window; end <= result.firstAttempts.size(); ++end) {
        std::uint64_t all = 0;
        std::uint64_t first = 0;
        for (std::size_t i = end - window; i < end; ++i) {
            all += i < result.attempts.size() ? result.attempts[i] : 0;
            first += result.firstAttempts[i];
        }
        if (first >= 100) // fewer say nothing about a share
            worst = std::max(worst, static_cast<double>(all) / static_cast<double>(first));
    }
    return worst;
}

void addTarget(Row &row, std::string_view name, double value, double bound, bool atMost)
{
    const bool met = atMost ? value <= bound : value >= bound;
    char text[160];
    std::snprintf(text, sizeof text, "%.*s %.3f %s %.3f: %s", static_cast<int>(name.size()), name.data(), value,
                  atMost ? "<=" : ">=", bound, met ? "met" : "missed");
    row.targets.emplace_back(text);
    row.met = row.met && met;
}

// Goodput of the backend servers that the faults do not hit, over the work offered or what they can serve.
double unaffectedGoodput(const Workload &work, const Result &result)
{
    const std::int64_t from = work.faults.front().fromUs / usPerS + 1;
    const std::int64_t to = work.faults.front().toUs / usPerS;
    double capacity = 0;
    for (std::uint32_t i = 0; i < work.backends.size(); ++i) {
        const bool hit = std::any_of(work.faults.begin(), work.faults.end(), [&](const Fault &fault) {
            return std::find(fault.backends.begin(), fault.backends.end(), i) != fault.backends.end();
        });
        capacity += hit ? 0 : work.backends[i].info.slots / work.backends[i].factor;
    }
    const double offered = sumOf(result.offeredWork, from, to);
    return sumOf(result.doneElsewhere, from, to)
            / std::min(offered, capacity * static_cast<double>(to - from) * usPerS);
}

// Seconds after the return of the feed until goodput over 2 s reaches 95% of the work offered, or of what can be
// served.
double recoveryS(const Workload &work, const Result &result)
{
    const std::int64_t back = work.faults.front().toUs / usPerS;
    constexpr std::int64_t span = 2;
    for (std::int64_t second = back; second + span <= work.endUs / usPerS; ++second) {
        const double offered =
                std::min(sumOf(result.offeredWork, second, second + span), work.capacity * span * usPerS);
        if (sumOf(result.doneWork, second, second + span) >= 0.95 * offered)
            return static_cast<double>(second - back);
    }
    return 1e9;
}

void summarise(Row &row, const Workload &work)
{
    const Result &result = row.result;
    row.p50 = percentile(result.ratios, 0.50);
    row.p99 = percentile(result.ratios, 0.99);
    row.p999 = percentile(result.ratios, 0.999);
    row.wastedShare =
            result.messages > 0 ? static_cast<double>(result.wasted) / static_cast<double>(result.messages) : 0;
    double slots = 0;
    for (const SimBackend &backend : work.backends)
        slots += backend.info.slots;
    row.utilisation = result.busyUs / (slots * static_cast<double>(work.endUs - work.warmupUs));
    row.worstAttempts = worstAttempts(result);
}

void judge(Row &row, const Case &spec, const std::vector<Row> &rows)
{
    const Workload &work = spec.work;
    const auto other = [&](std::string_view policy, std::string_view name) -> const Row & {
        return *std::find_if(rows.begin(), rows.end(), [&](const Row &candidate) {
            return candidate.policy == policy && candidate.caseName == name;
        });
    };
    const Row &central = other("central", row.caseName);
    if (spec.steady && spec.load <= 0.85) {
        addTarget(row, "p50/central", row.p50 / central.p50, 1.05, true);
        addTarget(row, "p99/central", row.p99 / central.p99, 1.5, true);
    }
    if (spec.dip) {
        addTarget(row, "unaffected goodput", unaffectedGoodput(work, row.result), 0.95, false);
        addTarget(row, "recovery s", recoveryS(work, row.result), 5, true);
    }
    addTarget(row, "wasted", row.wastedShare, 0.05, true);
    addTarget(row, "attempts/first", row.worstAttempts, 1.1, true);
    if (!spec.quietCase.empty()) {
        const Row &quiet = other(row.policy, spec.quietCase);
        addTarget(row, "p99 of other organisation",
                  percentile(row.result.organisationRatios[1], 0.99)
                          / percentile(quiet.result.organisationRatios[1], 0.99),
                  1.1, true);
    }
    if (row.policy != "clementinelift")
        return;
    for (const Row &base : rows) {
        if (base.caseName != row.caseName || base.policy == "central" || &base == &row || base.policy == row.policy)
            continue;
        // A baseline that refuses or fails many more tasks is not faster: the p99 counts only what it completed.
        const bool comparable = base.result.completed * 100 >= row.result.completed * 99;
        if (comparable) {
            addTarget(row, "p99/" + base.policy, row.p99 / base.p99, 1.0, true);
        }
        if (base.wastedShare + 0.001 < row.wastedShare)
            addTarget(row, "wasted - " + base.policy, row.wastedShare - base.wastedShare, 0.001, true);
    }
}

std::string join(const std::map<std::string, std::uint64_t> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts)
        if (count > 0)
            text += (text.empty() ? "" : "; ") + name + " " + std::to_string(count);
    return text;
}

std::string join(const std::vector<std::string> &parts)
{
    std::string text;
    for (const auto &part : parts)
        text += (text.empty() ? "" : "; ") + part;
    return text;
}

double perTask(const Row &row)
{
    return row.result.tasks > 0 ? static_cast<double>(row.result.messages) / static_cast<double>(row.result.tasks) : 0;
}

void print(const std::vector<Row> &rows)
{
    std::printf("%-22s %-18s %2s %7s %6s %7s %7s %7s %7s %6s %7s %7s %6s\n", "case", "policy", "vm", "tasks", "done%",
                "p50", "p99", "p99.9", "msg/t", "wast%", "borrow%", "retries", "util%");
    for (const Row &row : rows) {
        const auto tasks = static_cast<double>(std::max<std::uint64_t>(row.result.tasks, 1));
        std::printf("%-22s %-18s %2zu %7llu %6.2f %7.3f %7.3f %7.3f %7.3f %6.2f %7.2f %7llu %6.1f\n",
                    row.caseName.c_str(), row.policy.c_str(), row.nodes,
                    static_cast<unsigned long long>(row.result.tasks),
                    100 * static_cast<double>(row.result.completed) / tasks, row.p50, row.p99, row.p999, perTask(row),
                    100 * row.wastedShare, 100 * static_cast<double>(row.result.borrowed) / tasks,
                    static_cast<unsigned long long>(row.result.retries), 100 * row.utilisation);
    }
    std::printf("\ntargets of the shipped scheduler\n");
    for (const Row &row : rows)
        if (row.policy == "clementinelift") {
            std::printf("%-22s %-6s\n", row.caseName.c_str(), row.met ? "met" : "MISSED");
            for (const auto &target : row.targets)
                std::printf("    %s\n", target.c_str());
            if (const auto refused = join(row.result.refusals); !refused.empty())
                std::printf("    refused: %s\n", refused.c_str());
            if (const auto wasted = join(row.result.wastedByKind); !wasted.empty())
                std::printf("    wasted: %s\n", wasted.c_str());
        }
}

void writeCsv(const std::string &path, const std::vector<Row> &rows)
{
    std::ofstream out(path);
    out << "case,policy,entry_vms,tasks,completed,failed,p50,p99,p999,messages_per_task,wasted_percent,wasted_by_kind,"
           "refused,borrowed,retries,worst_attempts_per_first_10s,utilisation_percent,target\n";
    for (const Row &row : rows) {
        char numbers[256];
        std::snprintf(numbers, sizeof numbers, "%.4f,%.4f,%.4f,%.4f,%.3f", row.p50, row.p99, row.p999, perTask(row),
                      100 * row.wastedShare);
        char tail[64];
        std::snprintf(tail, sizeof tail, "%.4f,%.2f", row.worstAttempts, 100 * row.utilisation);
        out << row.caseName << ',' << row.policy << ',' << row.nodes << ',' << row.result.tasks << ','
            << row.result.completed << ',' << row.result.failed << ',' << numbers << ",\""
            << join(row.result.wastedByKind) << "\",\"" << join(row.result.refusals) << "\"," << row.result.borrowed
            << ',' << row.result.retries << ',' << tail << ",\""
            << (row.policy == "central" ? "ideal" : join(row.targets)) << "\"\n";
    }
}

const std::vector<std::string> &policyNames()
{
    static const std::vector<std::string> names = [] {
        std::vector<std::string> result;
        for (const Policy &policy : policies())
            result.push_back(policy.name);
        return result;
    }();
    return names;
}

const Row *findRow(const std::vector<Row> &rows, std::string_view name, std::string_view policy)
{
    const auto row = std::find_if(rows.begin(), rows.end(), [&](const Row &candidate) {
        return candidate.caseName == name && candidate.policy == policy;
    });
    return row == rows.end() ? nullptr : &*row;
}

template <typename Value>
void plotBars(const std::string &path, const std::string &title, const std::vector<Row> &rows,
              const std::vector<std::string> &names, bool withCentral, bool logarithmic, Value value)
{
    std::vector<Series> series;
    for (const std::string &policy : policyNames()) {
        if (policy == "central" && !withCentral)
            continue;
        series.push_back({policy, {}});
        for (const std::string &name : names) {
            const Row *row = findRow(rows, name, policy);
            if (row == nullptr)
                return;
            series.back().values.push_back(value(*row));
        }
    }
    std::ofstream(path) << barChart(title, names, series, logarithmic);
}

void plotGoodput(const std::string &path, const std::string &title, const std::vector<Row> &rows, std::string_view name)
{
    constexpr std::size_t from = 30;
    constexpr std::size_t to = 65;
    std::vector<Series> series;
    for (const std::string &policy : policyNames()) {
        const Row *row = findRow(rows, name, policy);
        if (row == nullptr)
            return;
        series.push_back({policy, {}});
        const auto &done = row->result.doneWork;
        const auto &offered = row->result.offeredWork;
        for (std::size_t i = from; i < to; ++i)
            series.back().values.push_back(100 * done[i] / offered[i]);
    }
    std::ofstream(path) << lineChart(title, from, series);
}

void writePlots(const std::string &directory, const std::vector<Row> &rows)
{
    const std::vector<std::string> steady = {"steady 50% vm6", "steady 70% vm6", "steady 85% vm6", "steady 95% vm6"};
    const std::vector<std::string> others = {
            "burst",      "dip one rack",      "dip three racks",   "dip two racks of 6", "fail everything",
            "stragglers", "misdeclared sizes", "cancellation wave", "organisation burst"};
    const std::vector<std::string> weights = {"weight 0 50%", "weight 1 50%", "weight 0 70%",
                                              "weight 1 70%", "weight 0 85%", "weight 1 85%"};
    const auto p50 = [](const Row &row) { return row.p50; };
    const auto p99 = [](const Row &row) { return row.p99; };
    const auto wasted = [](const Row &row) { return 100 * row.wastedShare; };
    plotBars(directory + "/steady_p50.svg", "p50 of response time over ideal, steady load", rows, steady, true, false,
             p50);
    plotBars(directory + "/steady_p99.svg", "p99 of response time over ideal, steady load", rows, steady, true, true,
             p99);
    plotBars(directory + "/steady_wasted.svg", "wasted messages in % of task messages, steady load", rows, steady,
             false, false, wasted);
    plotBars(directory + "/cases_p99.svg", "p99 of response time over ideal", rows, others, true, true, p99);
    plotBars(directory + "/cases_wasted.svg", "wasted messages in % of task messages", rows, others, false, false,
             wasted);
    plotBars(directory + "/weight_p99.svg", "p99 of response time over ideal by response weight", rows, weights, true,
             true, p99);
    plotBars(directory + "/weight_wasted.svg", "wasted messages in % by response weight", rows, weights, false, false,
             wasted);
    plotGoodput(directory + "/dip_goodput.svg",
                "completed work in % of offered work, three racks dip from 40 s to 50 s", rows, "dip three racks");
}

} // namespace

int main(int argc, char **argv)
{
    bool quick = false;
    std::string csv;
    std::string plots;
    std::string only;
    for (int i = 1; i < argc; ++i) {
        if (std::strcmp(argv[i], "--quick") == 0)
            quick = true;
        else if (std::strcmp(argv[i], "--csv") == 0 && i + 1 < argc)
            csv = argv[++i];
        else if (std::strcmp(argv[i], "--plots") == 0 && i + 1 < argc)
            plots = argv[++i];
        else if (std::strcmp(argv[i], "--case") == 0 && i + 1 < argc)
            only = argv[++i];
        else {
            std::fprintf(stderr, "usage: policy_bench [--quick] [--csv FILE] [--plots DIRECTORY] [--case PREFIX]\n");
            return 2;
        }
    }

    std::vector<Case> cases = makeCases();
    std::erase_if(cases, [&](const Case &spec) { return spec.work.name.compare(0, only.size(), only) != 0; });
    struct Run
    {
        const Case *spec;
        const Policy *policy;
    };
    std::vector<Run> runs;
    for (const Case &spec : cases)
        for (const Policy &policy : policies())
            if (!quick || policy.name == "central" || policy.name == "clementinelift")
                runs.push_back({&spec, &policy});
    // Each run is independent and seeded, so threads do not change the results.
    std::vector<Row> rows(runs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    constexpr unsigned threadCount = 4;
    for (unsigned i = 0; i < threadCount; ++i)
        threads.emplace_back([&] {
            for (std::size_t run = next++; run < runs.size(); run = next++) {
                const Workload &work = runs[run].spec->work;
                rows[run].caseName = work.name;
                rows[run].policy = runs[run].policy->name;
                rows[run].nodes = work.nodes.size();
                rows[run].result = runs[run].policy->run(work);
                summarise(rows[run], work);
            }
        });
    for (auto &thread : threads)
        thread.join();
    for (std::size_t run = 0; run < runs.size(); ++run)
        if (rows[run].policy != "central")
            judge(rows[run], *runs[run].spec, rows);
    print(rows);
    if (!csv.empty())
        writeCsv(csv, rows);
    if (!plots.empty())
        writePlots(plots, rows);
    return 0;
}
