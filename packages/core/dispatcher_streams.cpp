#include "core/dispatcher_state.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

using namespace detail;

namespace {

constexpr std::int64_t grantSettleUs = usPerS; // the first entry VMs to meet must not claim the share of the others
constexpr std::int64_t configAskPauseUs = usPerS / 2;  // between requests to peers
constexpr std::int64_t snapshotSpreadUs = 10 * usPerS; // entry VMs append snapshots at different times
constexpr std::int64_t resumeSettleUs = 100 * usPerMs;
constexpr std::int64_t releaseRetryUs = usPerS; // until the release is read back

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
            step.notice(NoticeLevel::Warning, "keys",
                        absl::StrCat("ownership records were dropped unread, next=", ownershipNext,
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
            if (grant->incarnation == settings.self.incarnation && !everGranted) {
                everGranted = true;
                step.notice(NoticeLevel::Info, "keys",
                            absl::StrCat("first grant read back, partitions=", grant->partitions.count()));
            }
        } else if (const auto *release = std::get_if<ReleaseRecord>(&record.body)) {
            ownership.apply(*release);
        }
    }
    dedupe.raiseFloor(ownership.floorMs());
    const bool isGap = ownershipNext < read.nextOffset;
    ownershipAtEnd = read.caughtUp && !isGap;
    if (isGap)
        step.act(SeekLog{Stream::Ownership, ownershipNext});
    if (ownershipAtEnd && !ownershipRead) {
        ownershipRead = true;
        grantsFromUs = settings.seeds.empty() ? step.now.monoUs : step.now.monoUs + grantSettleUs;
    }
}

void Dispatcher::State::on(Step &step, LogUnavailable &&event)
{
    bool &down = event.stream == Stream::Ownership ? ownershipDown : configDown;
    if (!down)
        step.notice(NoticeLevel::Warning, event.stream == Stream::Ownership ? "keys" : "config", "log is down");
    down = true;
}

void Dispatcher::State::on(Step &step, AppendEnded &&event)
{
    // What was appended counts only when it is read back, so a lost response changes nothing.
    if (event.outcome == AppendOutcome::Refused)
        step.notice(NoticeLevel::Debug, "keys", absl::StrCat("append refused, id=", raw(event.append)));
}

AppendId Dispatcher::State::append(Step &step, Stream stream, LogBody &&body)
{
    const AppendId id{nextAppend++};
    step.act(AppendLog{id, stream, std::move(body)});
    return id;
}

void Dispatcher::State::planGrants(Step &step)
{
    if (!ownershipAtEnd || ownershipDown || draining || step.now.monoUs < planner.nextPlanUs())
        return;
    if (step.now.monoUs < grantsFromUs)
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
        // Records below a snapshot record were passed over, or a read got lost. Otherwise records were dropped: a
        // snapshot follows in the stream, or peers help.
        if (jumped || read.firstAvailable <= config.nextOffset())
            step.act(SeekLog{Stream::Config, config.nextOffset()});
        return;
    }
    configDown = configDown && !read.caughtUp;
    if (read.caughtUp && !config.isLoaded() && (before > 0 || read.firstAvailable == 0)) {
        config.markLoaded();
        noteTemplates(0);
    }
}

// Returns true when a snapshot moved the state forward.
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
        // What was in the log before the start of this process is known everywhere.
        noteTemplates(jumped || !config.isLoaded() ? 0 : record.timeMs);
        step.notice(NoticeLevel::Info, "config", absl::StrCat("parameters changed, next=", config.nextOffset()));
    }
    return jumped;
}

// Remembers which templates have ever allowed repeats, and since when.
void Dispatcher::State::noteTemplates(std::int64_t sinceMs)
{
    for (std::uint32_t index = 0; index < config.templateCount(); ++index) {
        const TemplateId id{index};
        if (config.isInForce(id) && config.parameters(id).repeat == Repeat::Allowed)
            repeatAllowedSinceMs.try_emplace(std::string(config.name(id)), sinceMs);
    }
}

void Dispatcher::State::requestConfig(Step &step, std::string_view node, std::int64_t peerNext)
{
    const bool asked = configAskedUs >= 0 && step.now.monoUs < configAskedUs + configAskPauseUs;
    if (asked || (peerNext <= config.nextOffset() && config.isLoaded()))
        return;
    configAskedUs = step.now.monoUs;
    step.act(SendPeer{std::string(node), ConfigRequest{config.nextOffset()}});
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, ConfigRequest &&message)
{
    if (config.isLoaded())
        step.act(SendPeer{from.node, config.recordsFrom(message.nextOffset)});
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, ConfigRecords &&message)
{
    const std::int64_t before = config.nextOffset();
    bool jumped = false;
    if (message.snapshot) {
        const std::uint64_t generation = config.generation();
        jumped = config.apply(*message.snapshot);
        if (config.generation() != generation)
            noteTemplates(0);
    }
    for (const LogRecord &record : message.records)
        jumped = applyConfig(step, record) || jumped;
    // A peer answers only when it knows its state, so the records from the first one on are a known state, too.
    if (!config.isLoaded() && config.nextOffset() >= message.nextOffset) {
        config.markLoaded();
        noteTemplates(0);
    }
    if (jumped)
        step.act(SeekLog{Stream::Config, config.nextOffset()});
    if (config.nextOffset() > before && config.nextOffset() < message.nextOffset)
        step.act(SendPeer{from.node, ConfigRequest{config.nextOffset()}}); // the answer was bounded in size
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
        snapshotDueUs = step.now.monoUs + static_cast<std::int64_t>(random() % snapshotSpreadUs);
        return;
    }
    if (step.now.monoUs < snapshotDueUs)
        return;
    append(step, Stream::Config, config.snapshot());
    // Tried again after a while unless this snapshot or that of another entry VM is read back.
    snapshotDueUs = step.now.monoUs + snapshotSpreadUs;
}

// VM list -------------------------------------------------------------------------------------------

void Dispatcher::State::on(Step &step, VmListRead &&event)
{
    // Peers may have read a newer list: a backend server that was reported as leaving stays so until it is not listed.
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

// To every linked entry VM, also one that counts as dead: it may have been paused only, and hears nothing when it goes
// on.
void Dispatcher::State::announceLeaving(Step &step, const std::string &backend)
{
    for (const auto &[node, link] : links) {
        if (link.up)
            step.act(SendPeer{node, BackendLeaving{backend}});
    }
}

void Dispatcher::State::onPeer(Step &step, const PeerMessageReceived &from, BackendLeaving &&message)
{
    (void)from;
    const bool isNews = leavingBackends.insert(message.backend).second;
    scheduler.setLeaving(message.backend, step.now);
    if (isNews)
        announceLeaving(step, message.backend); // the first reader may not reach every entry VM
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
    // No key at or above this issue time was accepted, and none will be: a successor may own them at once.
    releaseAtMs = maxAcceptedIssueMs + 1;
    step.notice(NoticeLevel::Info, "keys",
                absl::StrCat("draining, open jobs=", jobs.size(), " release at=", releaseAtMs));
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
    // Grants end by themselves when the log is down; waiting for it would keep a VM that is to be replaced.
    const bool mayLeave = released || !everGranted || ownershipDown || lingeredUs >= lingerUs + 10 * releaseRetryUs;
    // After a pause the requests that came during it are delivered behind the timer, and still get their answers.
    drainDueUs = std::max(idleSinceUs + lingerUs, resumedUs + resumeSettleUs);
    if (step.now.monoUs < drainDueUs)
        return;
    if (!mayLeave || !forwards.empty()) {
        drainDueUs = step.now.monoUs + releaseRetryUs;
        return;
    }
    drainFinished = true;
    step.notice(NoticeLevel::Info, "keys", released ? "drained" : "drained, the release was not read back");
    step.act(DrainFinished{});
}

} // namespace clementinelift::core
