#include "dispatcher/fleet_metrics.h"

#include "dispatcher/metric_families.h"
#include "platform/clock.h"

#include <chrono>

namespace clementinelift::dispatcher {

namespace {

void addCounter(Families &families, std::string name, std::string help, std::uint64_t value)
{
    families.add(MetricType::Counter, std::move(name), std::move(help), static_cast<double>(value));
}

void addGauge(Families &families, std::string name, std::string help, std::size_t value)
{
    families.add(MetricType::Gauge, std::move(name), std::move(help), static_cast<double>(value));
}

void addAnswerTimes(Families &families, const command::FleetCounters &counters)
{
    constexpr double msPerS = 1000;
    prometheus::ClientMetric::Histogram histogram;
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < counters.answerTimes.size(); ++i) {
        sum += counters.answerTimes[i];
        const double bound = i < command::answerBoundsMs.size()
                ? static_cast<double>(command::answerBoundsMs[i]) / msPerS
                : std::numeric_limits<double>::infinity();
        histogram.bucket.push_back({sum, bound});
    }
    histogram.sample_count = sum;
    histogram.sample_sum = counters.answerSeconds;
    families.addHistogram("answer_seconds", "Time from a job's arrival to its answer, completed jobs.",
                          std::move(histogram));
}

// Since when each evacuated zone is, as far as this entry VM knows, and the runs on the backend servers that it
// commands.
void addEvacuations(Families &families, const command::FleetDispatcher &core)
{
    const command::Evacuations &evacuations = core.evacuations();
    addGauge(families, "evacuations_known", "1 while this entry VM knows which availability zones are evacuated.",
             evacuations.isCurrent() ? 1 : 0);
    const std::vector<command::Evacuations::InForce> zones = evacuations.inForce();
    const auto add = [&](const char *name, const char *help, auto valueOf) {
        families.begin(MetricType::Gauge, name, help);
        for (const command::Evacuations::InForce &zone : zones)
            families.addSample({{"zone", zone.zone}}, static_cast<double>(valueOf(zone)));
    };
    const auto runsOf = [&](const auto &zone) { return core.commander().zoneRuns(zone.zone); };
    const auto unixUs =
            std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
    const command::TimeUs bootedAt = unixUs.count() - platform::bootTimeUs();
    add("evacuated_since_seconds", "Unix time at which this entry VM learned of the evacuation.",
        [&](const auto &zone) { return static_cast<double>(bootedAt + zone.since) / command::usPerS; });
    add("evacuated_runs", "Runs left on the backend servers of the zone that this entry VM commands.",
        [&](const auto &zone) { return runsOf(zone).runs; });
    add("evacuated_servers", "Backend servers of the zone that this entry VM commands.",
        [&](const auto &zone) { return runsOf(zone).commanded; });
    add("evacuated_unknown_servers", "Of these, those whose runs are not known at present.",
        [&](const auto &zone) { return runsOf(zone).unknown; });
}

} // namespace

std::string writeFleetMetrics(const command::FleetDispatcher &core, const platform::StoreCounters &store,
                              const platform::OrderCounters &orders, const net::HttpClient &http,
                              std::uint64_t badFrames, std::span<const ServerUsage> servers,
                              const net::PeerLinkCounters &links)
{
    const command::FleetCounters &counters = core.counters();
    Families families;
    addCounter(families, "requests_total", "Requests of callers.", counters.requests);
    addCounter(families, "jobs_completed_total", "Jobs answered as completed.", counters.completed);
    addCounter(families, "jobs_late_total", "Jobs answered as completed after their objective.", counters.late);
    addCounter(families, "jobs_failed_total", "Jobs answered as failed.", counters.failed);
    addCounter(families, "job_starts_deferred_total", "Times that a job did not begin without room for all its tasks.",
               counters.deferredStarts);
    addCounter(families, "placing_candidates_total", "Candidates examined in choosing places for tasks.",
               counters.candidatesExamined);
    addCounter(families, "jobs_given_up_total", "Jobs stopped because they could not end in time.", counters.givenUp);
    addCounter(families, "jobs_refused_total", "Jobs refused before anything ran.", counters.refused);
    addCounter(families, "unknown_routes_total", "Requests answered with 404.", counters.unknownRoutes);
    addCounter(families, "callers_gone_total", "Callers that closed their connection before the answer.",
               counters.callersGone);
    families.begin(MetricType::Counter, "job_end_reasons_total", "Refused and failed jobs by reason.");
    for (const auto &[reason, count] : counters.reasons)
        families.addSample({{"reason", std::string(reason)}}, static_cast<double>(count));
    addAnswerTimes(families, counters);
    addCounter(families, "starts_total", "Starts ordered by this entry VM.", counters.starts);
    addCounter(families, "remote_starts_total", "Starts requested from peers.", counters.remoteStarts);
    addCounter(families, "remote_refusals_total", "Starts that peers did not carry out.", counters.remoteRefusals);
    addCounter(families, "requests_passed_on_total", "Requests forwarded to a coordinator.",
               counters.forwardedRequests);
    addCounter(families, "requests_taken_over_total", "Requests forwarded by other entry VMs.",
               counters.receivedForwards);
    addCounter(families, "task_retries_total", "Further runs of a task.", counters.retries);
    addCounter(families, "stalled_tasks_total", "Tasks stopped because they were overdue.", counters.stalls);
    addCounter(families, "better_waits_total",
               "Jobs that have waited for better backend servers although others were free.", counters.betterWaits);
    families.begin(MetricType::Counter, "better_wait_ends_total", "Ends of such waits by outcome.");
    families.addSample({{"outcome", "paid"}}, static_cast<double>(counters.betterWaitsPaid));
    families.addSample({{"outcome", "deadline"}}, static_cast<double>(counters.betterWaitsExpired));
    families.addSample({{"outcome", "ended_early"}}, static_cast<double>(counters.betterWaitsEndedEarly));
    addGauge(families, "jobs", "Jobs in progress.", core.jobCount());
    addGauge(families, "job_memory_bytes", "Taken by jobs in progress and waiting requests.",
             core.jobMemory().usedBytes());
    addGauge(families, "job_memory_limit_bytes", "Limit of job_memory_bytes.", core.jobMemory().limitBytes());
    addGauge(families, "waiting_jobs", "Jobs with tasks that wait for capacity.", core.waitingCount());
    addGauge(families, "link_us_per_start", "Learned time that an order to start a task takes to leave this entry VM.",
             static_cast<std::size_t>(core.commander().startDelay().perOrderUs()));
    addGauge(families, "peers", "Peers that are not considered lost.", core.peerCount());
    addGauge(families, "commanded_servers", "Backend servers that this entry VM commands.",
             core.commander().commandedCount());
    addGauge(families, "configuration_version", "Version of the configuration in force.",
             static_cast<std::size_t>(core.routes().configuration().version));
    addGauge(families, "commanding", "1 while this entry VM is elected as commander.", core.isCommanding() ? 1 : 0);
    addGauge(families, "ready", "1 while the balancer may send callers.", core.isReady() ? 1 : 0);
    addEvacuations(families, core);
    addCounter(families, "store_calls_total", "Calls to the platform's store.", store.calls);
    addCounter(families, "store_failures_total", "Calls to the store without a usable answer.", store.failures);
    addCounter(families, "bad_records_total", "Records of the store that were skipped.", store.undecodableRecords);
    addCounter(families, "order_starts_total", "Start orders sent to backend servers.", orders.starts);
    addCounter(families, "order_stops_total", "Stop orders sent to backend servers.", orders.stops);
    addCounter(families, "order_holds_total", "Hold orders sent to backend servers.", orders.holds);
    addCounter(families, "orders_unanswered_total", "Orders without an answer.", orders.unanswered);
    addCounter(families, "order_connection_checks_total",
               "Questions to backend servers for the incarnation that a connection leads to.", orders.questions);
    addCounter(families, "order_starts_misdirected_total",
               "Start orders not sent because their backend server has restarted.", orders.misdirected);
    addCounter(families, "bad_answers_total", "Answers of backend servers that could not be decoded.",
               orders.undecodableAnswers);
    addCounter(families, "bad_frames_total", "Frames of peers that could not be decoded.", badFrames);
    addCounter(families, "client_bytes_sent_total", "Bytes sent to store and backend servers.", http.bytesSent());
    addCounter(families, "client_bytes_received_total", "Bytes received from store and backend servers.",
               http.bytesReceived());
    addRequestLimits(families, servers);
    addRefusedLinks(families, links);
    return families.write();
}

} // namespace clementinelift::dispatcher
