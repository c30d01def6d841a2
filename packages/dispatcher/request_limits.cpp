#include "dispatcher/request_limits.h"

#include "dispatcher/logging.h"

#include <algorithm>
#include <climits>

namespace clementinelift::dispatcher {

namespace {

constexpr std::int64_t reportIntervalMs = 10000;
constexpr std::size_t bytesPerMb = 1u << 20;
constexpr std::size_t decodingFactor = 3; // body, parsed JSON and decoded request
constexpr std::size_t unknownMemoryMb = 1024;
// Starts in progress and runs take a sixteenth of the memory each. A start has a request of the HTTP client and a
// specification of up to 16 KiB; a run is kept with its names by the commander and by the coordinator.
constexpr std::size_t orderMemoryDivisor = 16;
constexpr std::size_t bytesPerStart = 26u << 10;
constexpr std::size_t bytesPerRun = 640;
constexpr std::size_t minStarts = 64;
constexpr std::size_t bodyBytesOfUnknownMachine = unknownMemoryMb * bytesPerMb / 8 * 3;

void apply(net::HttpServerSettings &server, const net::RequestSettings &settings, net::RequestShare share)
{
    // A quarter of the bytes is for bodies; one request within its limit is always served.
    server.requestBytes = std::max(share.bytes, 4 * server.maxBodyBytes);
    server.maxConnections = share.maxConnections;
    server.idleTimeoutMs = settings.idleTimeoutMs;
    server.maxDiscardBytes = settings.maxDiscardBytes;
    server.unreadAnswerMs = settings.unreadAnswerMs;
    server.unreadAnswerBytes = settings.unreadAnswerBytes;
}

unsigned knownFds(const net::RequestSettings &settings)
{
    return settings.maxFds > 0 ? settings.maxFds : UINT_MAX;
}

} // namespace

void limitCallerServer(net::HttpServerSettings &server, const net::RequestSettings &settings)
{
    const std::size_t perConnection = net::connectionBytes(server.maxHeaderBytes);
    const std::size_t memory = settings.memoryMb * bytesPerMb;
    std::size_t bytes = settings.requestMb * bytesPerMb;
    // The number of connections is not lowered on a machine of unknown size; they may take three quarters of the bytes.
    if (memory == 0 && bytes == 0)
        bytes = bodyBytesOfUnknownMachine + settings.maxConnections * perConnection / 3 * 4;
    server.handlerFactor = decodingFactor;
    apply(server, settings,
          net::deriveCallerShare(memory, knownFds(settings), bytes, perConnection, settings.maxConnections));
}

void limitProbeServer(net::HttpServerSettings &server, const net::RequestSettings &settings)
{
    const std::size_t memory = settings.memoryMb > 0 ? settings.memoryMb * bytesPerMb : bodyBytesOfUnknownMachine;
    apply(server, settings,
          net::deriveProbeShare(memory, knownFds(settings), net::connectionBytes(server.maxHeaderBytes),
                                settings.maxConnections));
}

void limitJobs(command::FleetSettings &fleet, const net::RequestSettings &settings)
{
    const std::size_t memory = (settings.memoryMb > 0 ? settings.memoryMb : unknownMemoryMb) * bytesPerMb;
    fleet.jobBytes = settings.jobMb > 0 ? settings.jobMb * bytesPerMb : memory / net::jobMemoryDivisor;
    fleet.maxStarts = std::max(memory / orderMemoryDivisor / bytesPerStart, minStarts);
    fleet.maxRuns = memory / orderMemoryDivisor / bytesPerRun;
}

void addRequestLimits(Families &families, std::span<const ServerUsage> servers)
{
    families.begin(MetricType::Counter, "request_limits_total", "Connections closed or refused for a limit.");
    for (const auto &[name, usage] : servers) {
        for (std::size_t i = 0; i < usage.limits.size(); ++i)
            families.addSample({{"server", std::string(name)}, {"reason", std::string(net::limitReasonNames[i])}},
                               static_cast<double>(usage.limits[i]));
    }
    families.begin(MetricType::Gauge, "request_bytes", "Counted for connections, bodies and unread answers.");
    for (const auto &[name, usage] : servers)
        families.addSample({{"server", std::string(name)}}, static_cast<double>(usage.bytes));
    families.begin(MetricType::Gauge, "request_connections", "Open connections.");
    for (const auto &[name, usage] : servers)
        families.addSample({{"server", std::string(name)}}, static_cast<double>(usage.openConnections));
}

void addRefusedLinks(Families &families, const net::PeerLinkCounters &links)
{
    families.begin(MetricType::Counter, "peer_links_refused_total", "Peer links closed by this entry VM.");
    families.addSample({{"reason", "secret"}}, static_cast<double>(links.refusedSecret));
    families.addSample({{"reason", "version"}}, static_cast<double>(links.refusedVersion));
    families.addSample({{"reason", "hello"}}, static_cast<double>(links.refusedHello));
    families.addSample({{"reason", "frame"}}, static_cast<double>(links.refusedFrame));
    families.addSample({{"reason", "count"}}, static_cast<double>(links.refusedCount));
    families.addSample({{"reason", "pending"}}, static_cast<double>(links.refusedPending));
    families.addSample({{"reason", "overflow"}}, static_cast<double>(links.overflows));
}

void LimitReporter::report(std::int64_t nowMs, std::span<const ServerUsage> servers)
{
    m_nextMs = nowMs + reportIntervalMs;
    for (const auto &[name, usage] : servers) {
        net::LimitCounters &reported = m_reported[name];
        std::string text;
        bool isUnusual = false; // kept connections that end idle are usual
        for (std::size_t i = 0; i < reported.size(); ++i) {
            if (usage.limits[i] == reported[i])
                continue;
            isUnusual = isUnusual || i != static_cast<std::size_t>(net::LimitReason::NoRequest);
            text.append(" ")
                    .append(net::limitReasonNames[i])
                    .append("=")
                    .append(std::to_string(usage.limits[i] - reported[i]));
        }
        reported = usage.limits;
        if (isUnusual)
            log(core::NoticeLevel::Warning, "requests",
                "limits took effect server=" + std::string(name) + text + " bytes=" + std::to_string(usage.bytes)
                        + " open=" + std::to_string(usage.openConnections));
    }
}

} // namespace clementinelift::dispatcher
