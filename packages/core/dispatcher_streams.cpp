#include "core/dispatcher_state.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

using namespace detail;

namespace {

constexpr std::int64_t firstGrantDelayUs = usPerS; // lets peers connect, so that they get their share of partitions
constexpr std::int64_t configRequestIntervalUs = usPerS / 2; // minimum interval between requests to peers
constexpr std::int64_t maxSnapshotDelayUs = 10 * usPerS;     // random, so that entry VMs append at different times
constexpr std::int64_t resumeDelayUs = 100 * usPerMs;
constexpr std::int64_t releaseRetryUs = usPerS; // until the release is read back from the log

} // namespace

// Ownership stream ----------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, LogRead &&event)
{
    if (event.stream == Stream::Ownership)
        readOwnership(step, std::move(event));
    else
        readConfig(step, std::move(event));
}

void Dispatcher::State::readOwnership(Step &step, LogRead &&read)
{
    ownershipDown = false;
    if (read.firstAvailable > ownershipNext) {
        if (ownershipNext > 0) {
            step.log(NoticeLevel::Warning, "keys",
                     absl::StrCat("ownership records were dropped before they were read, next=", ownershipNext,
                                  " first=", read.firstAvailable));
            ownership.reset();
        }
        ownershipNext = read.firstAvailable;
    }
    for (const LogRecord &record : read.records) {
        if (record.offset < ownershipNext)
            continue; // read before
        if (record.offset > ownershipNext)
            break;
        ++ownershipNext;
        if (const auto *grant = std::get_if<GrantRecord>(&record.body)) {
            ownership.apply(*grant, record.timeMs);
            if (grant->incarnation == settings.self.incarnation && !ownGrantRead) {
                ownGrantRead = true;
                step.log(NoticeLevel::Info, "keys",
                         absl::StrCat("first grant read back, partitions=", grant->partitions.count()));
            }
        } else if (const auto *release = std::get_if<ReleaseRecord>(&record.body)) {
            ownership.apply(*release);
        }
    }
    dedupe.raiseFloor(ownership.floorMs());
    const bool isGap = ownershipNext < read.nextOffset;
    ownershipCaughtUp = read.caughtUp && !isGap;
    if (isGap)
        step.emit(SeekLog{Stream::Ownership, ownershipNext});
    if (ownershipCaughtUp && !ownershipRead) {
        ownershipRead = true;
        firstGrantUs = settings.seeds.empty() ? step.now.monoUs : step.now.monoUs + firstGrantDelayUs;
    }
}

void Dispatcher::State::on(Step &step, LogUnavailable &&event)
{
    bool &down = event.stream == Stream::Ownership ? ownershipDown : configDown;
    if (!down)
        step.log(NoticeLevel::Warning, event.stream == Stream::Ownership ? "keys" : "config", "log is down");
    down = true;
}

void Dispatcher::State::on(Step &step, AppendEnded &&event)
{
    // A record takes effect only when it is read back, so a lost response has no effect.
    if (event.outcome == AppendOutcome::Refused)
        step.log(NoticeLevel::Debug, "keys", absl::StrCat("append refused, id=", raw(event.append)));
}

AppendId Dispatcher::State::append(Step &step, Stream stream, LogBody &&body)
{
    const AppendId id{nextAppend++};
    step.emit(AppendLog{id, stream, std::move(body)});
    return id;
}

void Dispatcher::State::planGrants(Step &step)
{
    if (!ownershipCaughtUp || ownershipDown || draining || step.now.monoUs < planner.nextPlanUs())
        return;
    if (step.now.monoUs < firstGrantUs)
        return;
    for (GrantRecord &grant : planner.plan(ownership, membership.live(), step.now, membership.medianClockErrorMs()))
        append(step, Stream::Ownership, std::move(grant));
}

// Config stream -------------------------------------------------------------------------------------

void Dispatcher::State::readConfig(Step &step, LogRead &&read)
{
    const std::int64_t before = config.nextOffset();
    bool jumped = false;
    for (const LogRecord &record : read.records)
        jumped = applyConfig(step, record) || jumped;
    if (config.nextOffset() < read.nextOffset) {
        // A snapshot record has skipped the records below its offset, or a read was lost: read again. Otherwise the log
        // service has dropped records, and a later snapshot record or a peer fills the gap.
        if (jumped || read.firstAvailable <= config.nextOffset())
            step.emit(SeekLog{Stream::Config, config.nextOffset()});
        return;
    }
    configDown = configDown && !read.caughtUp;
    if (read.caughtUp && !config.isLoaded() && (before > 0 || read.firstAvailable == 0)) {
        config.markLoaded();
        recordRepeatableTemplates(0);
    }
}

// Returns true when a snapshot record advanced the configuration.
bool Dispatcher::State::applyConfig(Step &step, const LogRecord &record)
{
    const std::uint64_t generation = config.generation();
    const std::int64_t before = config.nextOffset();
    config.apply(record);
    const bool isSnapshot = std::holds_alternative<SnapshotRecord>(record.body);
    const bool jumped = isSnapshot && before < record.offset && config.nextOffset() > before;
    if (isSnapshot)
        snapshotDueUs = 0;
    if (config.generation() != generation) {
        // Entry VMs know all records that precede the start of this process.
        recordRepeatableTemplates(jumped || !config.isLoaded() ? 0 : record.timeMs);
        step.log(NoticeLevel::Info, "config", absl::StrCat("parameters changed, next=", config.nextOffset()));
    }
    return jumped;
}

// Records which templates have ever allowed repeats, and since when.
void Dispatcher::State::recordRepeatableTemplates(std::int64_t sinceMs)
{
    for (std::uint32_t index = 0; index < config.templateCount(); ++index) {
        const TemplateId id{index};
        if (config.isInForce(id) && config.parameters(id).repeat == Repeat::Allowed)
            repeatAllowedSinceMs.try_emplace(std::string(config.name(id)), sinceMs);
    }
}

void Dispatcher::State::requestConfig(Step &step, std::string_view node, std::int64_t peerNext)
{
    const bool asked = configRequestedUs >= 0 && step.now.monoUs < configRequestedUs + configRequestIntervalUs;
    if (asked || (peerNext <= config.nextOffset() && config.isLoaded()))
        return;
    configRequestedUs = step.now.monoUs;
    step.emit(SendPeer{std::string(node), ConfigRequest{config.nextOffset()}});
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, ConfigRequest &&message)
{
    if (config.isLoaded())
        step.emit(SendPeer{from.node, config.recordsFrom(message.nextOffset)});
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, ConfigRecords &&message)
{
    const std::int64_t before = config.nextOffset();
    bool jumped = false;
    if (message.snapshot) {
        const std::uint64_t generation = config.generation();
        jumped = config.apply(*message.snapshot);
        if (config.generation() != generation)
            recordRepeatableTemplates(0);
    }
    for (const LogRecord &record : message.records)
        jumped = applyConfig(step, record) || jumped;
    // A peer replies only when its configuration is complete, so the configuration is complete after its last record.
    if (!config.isLoaded() && config.nextOffset() >= message.nextOffset) {
        config.markLoaded();
        recordRepeatableTemplates(0);
    }
    if (jumped)
        step.emit(SeekLog{Stream::Config, config.nextOffset()});
    if (config.nextOffset() > before && config.nextOffset() < message.nextOffset)
        step.emit(SendPeer{from.node, ConfigRequest{config.nextOffset()}}); // the reply was limited in size
}

void Dispatcher::State::planSnapshot(Step &step)
{
    if (!config.isLoaded() || configDown || draining || config.nextOffset() == 0)
        return;
    const std::int64_t snapshotMs = config.snapshotTimeMs();
    const bool isOld = snapshotMs > 0 && step.now.wallMs - snapshotMs > settings.logRetentionMs / 2;
    if (!isOld && config.recordsSinceSnapshot() <= settings.snapshotEvery) {
        snapshotDueUs = 0;
        return;
    }
    if (snapshotDueUs == 0) {
        snapshotDueUs = step.now.monoUs + static_cast<std::int64_t>(random() % maxSnapshotDelayUs);
        return;
    }
    if (step.now.monoUs < snapshotDueUs)
        return;
    append(step, Stream::Config, config.snapshot());
    // Appends another one later, unless a snapshot of this or another entry VM is read back before.
    snapshotDueUs = step.now.monoUs + maxSnapshotDelayUs;
}

// VM list -------------------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, VmListRead &&event)
{
    // A peer may have read a newer list, so a backend server that was reported as leaving stays leaving until this list
    // no longer contains it.
    absl::flat_hash_set<std::string_view> listed;
    for (BackendInfo &backend : event.backends) {
        listed.insert(backend.name);
        if (backend.leaving && leavingBackends.insert(backend.name).second)
            announceLeaving(step, backend.name);
        backend.leaving = backend.leaving || leavingBackends.contains(backend.name);
    }
    std::erase_if(leavingBackends, [&](const std::string &name) { return !listed.contains(name); });
    scheduler.setBackends(event.backends, step.now);
    membership.onVmList(event.nodes, step.now, step.actions);
}

// Sends to every linked entry VM, including those considered dead: such an entry VM may only be paused, and would get
// no other message about the backend server when it resumes.
void Dispatcher::State::announceLeaving(Step &step, const std::string &backend)
{
    for (const auto &[node, link] : links) {
        if (link.up)
            step.emit(SendPeer{node, BackendLeaving{backend}});
    }
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, BackendLeaving &&message)
{
    (void)from;
    const bool isNews = leavingBackends.insert(message.backend).second;
    scheduler.setLeaving(message.backend, step.now);
    if (isNews)
        announceLeaving(step, message.backend); // the sender may have no link to some entry VMs
}

void Dispatcher::State::on(Step &step, BackendProbed &&event)
{
    scheduler.onBackendProbed(event.backend, event.healthy, step.now);
}

// Draining ------------------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, BeginDrain &&event)
{
    (void)event;
    if (draining)
        return;
    draining = true;
    drainBegunUs = step.now.monoUs;
    // No key at or above this issue time was accepted, and none will be, so a successor may own them immediately.
    releaseAtMs = maxAcceptedIssueMs + 1;
    step.log(NoticeLevel::Info, "keys", absl::StrCat("draining, open jobs=", jobs.size(), " release at=", releaseAtMs));
    membership.leave(step.now, step.actions);
    appendRelease(step);
}

void Dispatcher::State::appendRelease(Step &step)
{
    append(step, Stream::Ownership, planner.release(releaseAtMs));
    releaseDueUs = step.now.monoUs + releaseRetryUs;
}

void Dispatcher::State::continueDrain(Step &step)
{
    if (drainFinished)
        return;
    const bool released = ownership.isReleased(settings.self.incarnation);
    if (released)
        releaseDueUs = INT64_MAX;
    else if (step.now.monoUs >= releaseDueUs)
        appendRelease(step);

    if (jobs.size() > 0 || !attempts.empty()) {
        idleSinceUs = -1;
        return;
    }
    if (idleSinceUs < 0)
        idleSinceUs = step.now.monoUs;
    const std::int64_t lingeredUs = step.now.monoUs - idleSinceUs;
    const std::int64_t lingerUs = settings.drainLingerMs * usPerMs;
    // Grants expire by themselves. Waiting for an unavailable log would delay the replacement of this VM.
    const bool mayLeave = released || !ownGrantRead || ownershipDown || lingeredUs >= lingerUs + 10 * releaseRetryUs;
    // After a pause, requests that arrived during the pause are delivered after the timer and must still be answered.
    drainDueUs = std::max(idleSinceUs + lingerUs, resumedUs + resumeDelayUs);
    if (step.now.monoUs < drainDueUs)
        return;
    if (!mayLeave || !forwards.empty()) {
        drainDueUs = step.now.monoUs + releaseRetryUs;
        return;
    }
    drainFinished = true;
    step.log(NoticeLevel::Info, "keys", released ? "drained" : "drained, the release was not read back");
    step.emit(DrainFinished{});
}

} // namespace clementinelift::core
