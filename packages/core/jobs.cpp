#include "core/jobs.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>

namespace clementinelift::core {

namespace {

constexpr std::size_t maxTraceEvents = 32; // per job
constexpr unsigned slotBits = 32;
constexpr std::uint32_t maxGeneration = (std::uint32_t(1) << 30) - 1; // job ids fit into 62 bits

JobId makeJobId(std::uint32_t generation, std::size_t slot)
{
    return JobId(static_cast<std::uint64_t>(generation) << slotBits | slot);
}

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view outcomeName(std::uint32_t outcome)
{
    switch (static_cast<AttemptOutcome>(outcome)) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::NotStarted:
        return "not started";
    case AttemptOutcome::Busy:
        return "busy";
    case AttemptOutcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

std::string textOf(const TraceEvent &event)
{
    switch (event.step) {
    case TraceStep::Accepted:
        return absl::StrCat("accepted, tasks=", event.value);
    case TraceStep::Joined:
        return "joined by a resubmission";
    case TraceStep::Started:
        return absl::StrCat("attempt started, task=", event.task, " backend=", event.value);
    case TraceStep::Ended:
        return absl::StrCat("attempt ended, task=", event.task, " outcome=", toAbsl(outcomeName(event.value)));
    case TraceStep::Resolving:
        return absl::StrCat("outcome unknown, asking the backend server, task=", event.task);
    case TraceStep::Requeued:
        return absl::StrCat("queued again, task=", event.task,
                            " reason=", toAbsl(toString(static_cast<RetryReason>(event.value))));
    case TraceStep::Dropped:
        return absl::StrCat("dropped, task=", event.task,
                            " reason=", toAbsl(toString(static_cast<Reason>(event.value))));
    case TraceStep::Answered:
        return absl::StrCat("answered, reason=", toAbsl(toString(static_cast<Reason>(event.value))));
    }
    return {};
}

bool isLater(const Timer &a, const Timer &b)
{
    return a.atUs > b.atUs;
}

} // namespace

// Traces --------------------------------------------------------------------------------------------

void Trace::add(std::int64_t wallMs, TraceStep step, std::uint32_t task, std::uint32_t value)
{
    if (events.size() < maxTraceEvents) {
        events.push_back({wallMs, step, task, value});
        return;
    }
    ++omitted;
    events.back() = {wallMs, step, task, value};
}

std::vector<TraceEntry> render(const Trace &trace)
{
    std::vector<TraceEntry> entries;
    entries.reserve(trace.events.size() + 1);
    for (const TraceEvent &event : trace.events) {
        if (trace.omitted > 0 && &event == &trace.events.back())
            entries.push_back({event.wallMs, absl::StrCat(trace.omitted, " events are not kept")});
        entries.push_back({event.wallMs, textOf(event)});
    }
    return entries;
}

void TraceRing::add(std::string_view organisation, const Key &key, Trace &&trace)
{
    if (m_maxJobs == 0)
        return;
    if (m_endedJobs.size() >= m_maxJobs)
        m_endedJobs.pop_front();
    m_endedJobs.push_back({std::string(organisation), key, std::move(trace)});
}

const Trace *TraceRing::find(std::string_view organisation, const Key &key) const
{
    const auto found = std::find_if(m_endedJobs.rbegin(), m_endedJobs.rend(), [&](const EndedJob &job) {
        return job.key == key && job.organisation == organisation;
    });
    return found == m_endedJobs.rend() ? nullptr : &found->trace;
}

// Jobs ----------------------------------------------------------------------------------------------

std::size_t memoryOf(const JobRequest &request)
{
    std::size_t bytes = sizeof(Job) + request.organisation.size() + request.templateName.size();
    for (const TaskRequest &task : request.tasks)
        bytes += sizeof(TaskRequest) + sizeof(Task) + task.payload.size();
    return bytes;
}

Job &JobTable::add()
{
    if (m_free.empty()) {
        m_free.push_back(static_cast<std::uint32_t>(m_slots.size()));
        m_slots.emplace_back();
    }
    const std::uint32_t index = m_free.back();
    m_free.pop_back();
    Slot &slot = m_slots[index];
    slot.used = true;
    slot.job.id = makeJobId(slot.generation, index);
    ++m_size;
    return slot.job;
}

Job *JobTable::find(JobId id)
{
    const auto index = static_cast<std::uint32_t>(raw(id));
    if (index >= m_slots.size())
        return nullptr;
    Slot &slot = m_slots[index];
    return slot.used && slot.job.id == id ? &slot.job : nullptr;
}

void JobTable::remove(JobId id)
{
    assert(find(id) != nullptr);
    const auto index = static_cast<std::uint32_t>(raw(id));
    Slot &slot = m_slots[index];
    slot.used = false;
    slot.job = Job{};
    --m_size;
    // A slot that has used all generations stays empty, because job ids are never reused.
    if (++slot.generation < maxGeneration)
        m_free.push_back(index);
}

// Timers --------------------------------------------------------------------------------------------

void TimerHeap::add(const Timer &timer)
{
    m_heap.push_back(timer);
    std::push_heap(m_heap.begin(), m_heap.end(), isLater);
}

Timer TimerHeap::pop()
{
    assert(!m_heap.empty());
    std::pop_heap(m_heap.begin(), m_heap.end(), isLater);
    const Timer timer = m_heap.back();
    m_heap.pop_back();
    return timer;
}

} // namespace clementinelift::core
