#include "dispatcher/metrics.h"

#include "dispatcher/request_limits.h"

namespace clementinelift::dispatcher {

namespace {

void addCounter(Families &families, std::string name, std::string help, double value)
{
    families.add(MetricType::Counter, std::move(name), std::move(help), value);
}

void addGauge(Families &families, std::string name, std::string help, double value)
{
    families.add(MetricType::Gauge, std::move(name), std::move(help), value);
}

template <typename Enum, typename Array>
void addByReason(Families &families, std::string name, std::string help, const Array &counts, std::size_t first)
{
    families.begin(MetricType::Counter, std::move(name), std::move(help));
    for (std::size_t i = first; i < counts.size(); ++i)
        families.addSample({{"reason", std::string(toString(static_cast<Enum>(i)))}}, static_cast<double>(counts[i]));
}

void addJobs(Families &families, const core::Dispatcher &core)
{
    const core::Counters &counters = core.counters();
    constexpr std::size_t firstReason = 1;
    addByReason<core::Reason>(families, "refusals_total", "Submissions refused.", counters.refusals, firstReason);
    addByReason<core::Reason>(families, "failures_total", "Jobs failed.", counters.failures, firstReason);
    addByReason<core::RetryReason>(families, "retries_total", "Further attempts of a task.", counters.retries, 0);
    addCounter(families, "submissions_total", "Submissions of callers.", static_cast<double>(counters.submissions));
    addCounter(families, "joins_total", "Resubmissions that joined a job or got a stored answer.",
               static_cast<double>(counters.joins));
    addCounter(families, "forwards_sent_total", "Requests forwarded to the owner of the key.",
               static_cast<double>(counters.forwardsSent));
    addCounter(families, "forwards_received_total", "Requests forwarded by other entry VMs.",
               static_cast<double>(counters.forwardsReceived));
    addCounter(families, "jobs_completed_total", "Jobs answered complete.", static_cast<double>(counters.completed));
    addCounter(families, "tasks_dropped_total", "Tasks dropped before they started.",
               static_cast<double>(counters.tasksDropped));
    addGauge(families, "jobs_open", "Jobs in progress.", static_cast<double>(core.openJobs()));
    addGauge(families, "job_memory_bytes", "Taken by jobs in progress and forwarded submissions.",
             static_cast<double>(core.jobBytes()));
    addGauge(families, "keys_remembered", "Entries of the deduplication table.",
             static_cast<double>(core.rememberedKeys()));
    addGauge(families, "answer_bytes", "Bytes of stored answers.", static_cast<double>(core.answerBytes()));
    addGauge(families, "queued_tasks", "Tasks that wait for a slot.",
             static_cast<double>(core.scheduler().queuedTasks()));
}

void addAttempts(Families &families, const core::Counters &counters)
{
    addCounter(families, "attempts_total", "Attempts started.", static_cast<double>(counters.attempts));
    families.begin(MetricType::Counter, "attempt_ends_total", "Attempts that did not complete.");
    families.addSample({{"outcome", "busy"}}, static_cast<double>(counters.attemptsBusy));
    families.addSample({{"outcome", "not_started"}}, static_cast<double>(counters.attemptsNotStarted));
    families.addSample({{"outcome", "failed"}}, static_cast<double>(counters.attemptsFailed));
    families.addSample({{"outcome", "unknown"}}, static_cast<double>(counters.attemptsUnknown));
    addCounter(families, "stops_total", "Attempts stopped at a backend server.", static_cast<double>(counters.stops));
    addCounter(families, "queries_total", "Queries for the state of an attempt.",
               static_cast<double>(counters.queries));
}

void addScheduler(Families &families, const core::SchedulerCounters &counters)
{
    addCounter(families, "slot_requests_total", "Slots requested from peers.",
               static_cast<double>(counters.slotRequests));
    addCounter(families, "slot_requests_refused_total", "Slot requests that a peer refused.",
               static_cast<double>(counters.slotsRefused));
    addCounter(families, "slot_requests_timed_out_total", "Slot requests without an answer.",
               static_cast<double>(counters.requestsTimedOut));
    addCounter(families, "slots_borrowed_total", "Attempts on borrowed slots.",
               static_cast<double>(counters.slotsBorrowed));
    addCounter(families, "slot_grants_unused_total", "Borrowed slots returned unused.",
               static_cast<double>(counters.grantsUnused));
    addCounter(families, "slots_lent_total", "Slots lent to peers.", static_cast<double>(counters.slotsLent));
    addCounter(families, "loans_expired_total", "Lent slots that were not returned in time.",
               static_cast<double>(counters.loansExpired));
    addCounter(families, "health_probes_total", "Active health probes.", static_cast<double>(counters.probes));
    addCounter(families, "breaker_trips_total", "Circuit breakers that opened.",
               static_cast<double>(counters.breakerTrips));
}

void addState(Families &families, const core::Dispatcher &core, const ProcessCounters &process, std::int64_t wallMs)
{
    addGauge(families, "ready", "1 when ready.", core.isReady() ? 1 : 0);
    addGauge(families, "draining", "1 while draining.", core.isDraining() ? 1 : 0);
    addGauge(families, "config_next_offset", "Next offset of the stream config.",
             static_cast<double>(core.configuration().nextOffset()));
    addGauge(families, "ownership_next_offset", "Next offset of the stream ownership.",
             static_cast<double>(process.ownershipNext));
    addGauge(families, "owned_partitions", "Key partitions owned for the current time.", core.ownedPartitions(wallMs));
    addGauge(families, "grant_progress_ms", "Largest granted issue time minus the wall clock.",
             static_cast<double>(core.ownership().progressMs() - wallMs));
    addGauge(families, "live_entry_vms", "Live entry VMs, the own one included.",
             static_cast<double>(core.membership().live().size()));
    addGauge(families, "clock_error_ms", "Own wall clock minus the median of the peers' clocks.",
             static_cast<double>(core.membership().medianClockErrorMs()));
}

void addTraffic(Families &families, const ProcessCounters &process)
{
    const auto addDirections = [&](auto valueOf) {
        for (const auto &[direction, traffic] :
             {std::pair("sent", &process.peerSent), std::pair("received", &process.peerReceived)}) {
            for (const auto &[type, count] : *traffic)
                families.addSample({{"direction", direction}, {"type", std::string(type)}},
                                   static_cast<double>(valueOf(count)));
        }
    };
    families.begin(MetricType::Counter, "peer_messages_total", "Messages on peer links.");
    addDirections([](const Traffic &traffic) { return traffic.messages; });
    families.begin(MetricType::Counter, "peer_bytes_total", "Bytes of messages on peer links.");
    addDirections([](const Traffic &traffic) { return traffic.bytes; });
    families.begin(MetricType::Counter, "control_bytes_total", "Bytes of control traffic outside of peer links.");
    families.addSample({{"to", "platform"}}, static_cast<double>(process.platformBytes));
    families.addSample({{"to", "backend"}}, static_cast<double>(process.backendControlBytes));
}

void addLinks(Families &families, const net::PeerLinkCounters &links, const ProcessCounters &process)
{
    addRefusedLinks(families, links);
    families.begin(MetricType::Counter, "peer_messages_dropped_total", "Messages on peer links that were dropped.");
    families.addSample({{"reason", "no_link"}}, static_cast<double>(links.framesDropped));
    families.addSample({{"reason", "undecodable"}}, static_cast<double>(process.peerUndecodable));
}

void addProcess(Families &families, const ProcessCounters &process)
{
    families.begin(MetricType::Counter, "platform_failures_total", "Failed reads of the platform's services.");
    families.addSample({{"service", "log"}}, static_cast<double>(process.logFailures));
    families.addSample({{"service", "vm_list"}}, static_cast<double>(process.vmListFailures));
    families.begin(MetricType::Counter, "log_appends_total", "Appends to the log service.");
    families.addSample({{"outcome", "appended"}}, static_cast<double>(process.appendsAppended));
    families.addSample({{"outcome", "refused"}}, static_cast<double>(process.appendsRefused));
    families.addSample({{"outcome", "unknown"}}, static_cast<double>(process.appendsUnknown));
    addCounter(families, "log_records_undecodable_total", "Log records that could not be decoded.",
               static_cast<double>(process.logUndecodableRecords));
    addCounter(families, "bad_requests_total", "Requests of callers answered with 4xx.",
               static_cast<double>(process.badRequests));
    addCounter(families, "callers_gone_total", "Callers that closed their connection before the answer.",
               static_cast<double>(process.callersGone));
    families.begin(MetricType::Counter, "cpu_seconds_total", "CPU time.");
    families.addSample({{"thread", "control"}}, process.controlCpuS);
    families.addSample({{"thread", "all"}}, process.processCpuS);
}

} // namespace

std::string writeMetrics(const core::Dispatcher &core, const net::PeerLinkCounters &links,
                         const net::RequestUsage &requests, const ProcessCounters &process, std::int64_t wallMs)
{
    Families families;
    addJobs(families, core);
    addAttempts(families, core.counters());
    addScheduler(families, core.scheduler().counters());
    addState(families, core, process, wallMs);
    addTraffic(families, process);
    addLinks(families, links, process);
    addRequestLimits(families, std::array{ServerUsage{"callers", requests}});
    addProcess(families, process);
    return families.write();
}

} // namespace clementinelift::dispatcher
