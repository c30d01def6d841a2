// Measures how memory, processor time and messages of one core grow with the size of a deployment: at least three sizes
// each for backend servers, organisations, entry VMs, remembered keys, configuration changes and tasks of a job.
// Prints a table and, with a file name as argument, writes the same rows as CSV.
#include "bench/fleet.h"

#include <cstdio>
#include <fstream>
#include <malloc.h>

namespace {

using namespace clementinelift::bench;

struct Row
{
    std::string dimension;
    double size = 0;
    std::string quantity;
    double value = 0;
    std::string unit;
};

std::vector<Row> rows;

void add(std::string dimension, double size, std::string quantity, double value, std::string unit)
{
    rows.push_back({std::move(dimension), size, std::move(quantity), value, std::move(unit)});
    const Row &row = rows.back();
    std::printf("%-16s %10.0f  %-28s %14.2f %s\n", row.dimension.c_str(), row.size, row.quantity.c_str(), row.value,
                row.unit.c_str());
    std::fflush(stdout);
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// Submits jobs of one core in steps of a virtual millisecond and returns processor nanoseconds per task.
double runLoad(Fleet &fleet, std::uint32_t jobs, std::uint32_t tasksPerJob, std::uint32_t organisations,
               std::uint32_t jobsPerMs)
{
    const std::int64_t cpuBefore = fleet.nodes[0].cpuNs;
    const std::uint64_t startsBefore = fleet.nodes[0].starts;
    for (std::uint32_t job = 0; job < jobs; ++job) {
        fleet.submit(0, tasksPerJob, job % organisations);
        if (job % jobsPerMs == jobsPerMs - 1)
            fleet.run(usPerMs);
    }
    fleet.run(2 * usPerS);
    const auto tasks = static_cast<double>(fleet.nodes[0].starts - startsBefore);
    return tasks > 0 ? static_cast<double>(fleet.nodes[0].cpuNs - cpuBefore) / tasks : 0;
}

// Bytes of one core after it has learned the service times of all its backend servers.
void measureBackends()
{
    for (const std::uint32_t backends : {50U, 500U, 5200U}) {
        const double before = heapBytes();
        Fleet fleet({.backends = backends});
        const double nsPerTask = runLoad(fleet, 40000, 1, 1, std::max(1U, backends / 5));
        add("backend servers", backends, "heap", heapBytes() - before, "bytes");
        add("backend servers", backends, "processor time per task", nsPerTask, "ns");
    }
}

void measureOrganisations()
{
    for (const std::uint32_t organisations : {3U, 72U, 720U}) {
        const double before = heapBytes();
        Fleet fleet({.backends = 500, .organisations = organisations});
        const double nsPerTask = runLoad(fleet, 40000, 1, organisations, 100);
        add("organisations", organisations, "heap", heapBytes() - before, "bytes");
        add("organisations", organisations, "processor time per task", nsPerTask, "ns");
    }
}

// Control work of the whole fleet, idle or with jobs at every entry VM whose keys it owns itself.
void measureFleet(std::uint32_t count, bool isLoaded)
{
    const int seconds = isLoaded ? 4 : 20;
    constexpr int jobsPerS = 10; // of each entry VM, one task each
    Fleet fleet({.nodes = count, .zones = 8, .backends = 4 * count, .countBytes = true});
    for (FleetNode &node : fleet.nodes)
        node.cpuNs = node.peerBytes = node.peerMessages = node.appends = 0;
    std::vector<bool> hasKeys(count, isLoaded);
    for (int step = 0; step < seconds * jobsPerS; ++step) {
        for (std::uint32_t node = 0; node < count; ++node)
            hasKeys[node] = hasKeys[node] && fleet.submit(node, 1);
        fleet.run(usPerS / jobsPerS);
    }
    FleetNode sum;
    std::uint64_t mostBytes = 0;
    std::size_t links = 0;
    for (const FleetNode &node : fleet.nodes) {
        sum.cpuNs += node.cpuNs;
        sum.peerBytes += node.peerBytes;
        sum.peerMessages += node.peerMessages;
        sum.appends += node.appends;
        mostBytes = std::max(mostBytes, node.peerBytes);
        links += node.links.size();
    }
    const std::string state = isLoaded ? ", loaded" : ", idle";
    const double nodeSeconds = static_cast<double>(count) * seconds;
    add("entry VMs", count, "control messages" + state, static_cast<double>(sum.peerMessages) / nodeSeconds,
        "per s and node");
    add("entry VMs", count, "control bytes, mean" + state, static_cast<double>(sum.peerBytes) / nodeSeconds,
        "per s and node");
    add("entry VMs", count, "control bytes, most" + state, static_cast<double>(mostBytes) / seconds, "per s");
    if (isLoaded) {
        add("entry VMs", count, "without own keys",
            static_cast<double>(std::count(hasKeys.begin(), hasKeys.end(), false)), "entry VMs");
        return;
    }
    add("entry VMs", count, "control processor time", static_cast<double>(sum.cpuNs) / nodeSeconds / 1e7,
        "% of a core");
    add("entry VMs", count, "links", static_cast<double>(links) / count, "per node");
    add("entry VMs", count, "log appends", static_cast<double>(sum.appends) / seconds, "per s, all nodes");
}

void measureEntryVms()
{
    for (const std::uint32_t count : {9U, 50U, 150U}) {
        measureFleet(count, false);
        measureFleet(count, true);
    }
}

void measureKeys()
{
    for (const std::uint32_t count : {50000U, 200000U, 800000U}) {
        Fleet fleet({.backends = 1000});
        runLoad(fleet, 20000, 1, 1, 200); // growth of the working set is not counted
        const double before = heapBytes();
        const std::size_t keysBefore = fleet.nodes[0].core->rememberedKeys();
        const double nsPerTask = runLoad(fleet, count, 1, 1, 200);
        const auto keys = static_cast<double>(fleet.nodes[0].core->rememberedKeys() - keysBefore);
        add("remembered keys", count, "heap per key", keys > 0 ? (heapBytes() - before) / keys : 0, "bytes");
        add("remembered keys", count, "processor time per task", nsPerTask, "ns");
    }
}

void measureChanges()
{
    for (const std::uint32_t count : {1000U, 5000U, 14000U}) {
        Fleet fleet({.organisations = 72});
        const double before = heapBytes();
        const std::int64_t cpuBefore = fleet.nodes[0].cpuNs;
        for (std::uint32_t done = 0; done < count; done += 100) {
            fleet.publish(100);
            fleet.run(10 * usPerMs);
        }
        add("changes", count, "processor time per change",
            static_cast<double>(fleet.nodes[0].cpuNs - cpuBefore) / count, "ns");
        // The log of the bench itself grows by about the same records; it is part of the figure.
        add("changes", count, "heap, log of the bench included", (heapBytes() - before) / count, "bytes per change");
    }
}

void measureJobSizes()
{
    for (const std::uint32_t tasks : {1U, 31U, 310U}) {
        Fleet fleet({.backends = 1000});
        const std::uint32_t jobs = 62000 / tasks;
        const double nsPerTask = runLoad(fleet, jobs, tasks, 1, std::max(1U, 200 / tasks));
        add("tasks of a job", tasks, "processor time per task", nsPerTask, "ns");
    }
}

} // namespace

int main(int argc, char **argv)
{
    measureBackends();
    measureOrganisations();
    measureEntryVms();
    measureKeys();
    measureChanges();
    measureJobSizes();
    if (argc > 1) {
        std::ofstream csv(argv[1]);
        csv << "dimension,size,quantity,value,unit\n";
        for (const Row &row : rows)
            csv << row.dimension << ',' << row.size << ",\"" << row.quantity << "\"," << row.value << ",\"" << row.unit
                << "\"\n";
        if (!csv.flush()) {
            std::fprintf(stderr, "slopes: cannot write %s\n", argv[1]);
            return 1;
        }
    }
    return 0;
}
