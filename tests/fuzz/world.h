// Simulates entry VMs with real cores, and fakes of all other components, in virtual time and from one seed.
//
// Contents
//   WorldOptions   numbers of VMs, capacities and times
//   Variant        deliberate faults, one for each guarantee, that the oracle must detect
//   World          cores, links, log service, VM list, backend servers, callers and operators
#pragma once

#include "core/dispatcher.h"
#include "fuzz/oracle.h"

#include <deque>
#include <functional>
#include <random>

namespace clementinelift::fuzz {

// WorldOptions --------------------------------------------------------------------------------------

struct WorldOptions
{
    std::uint64_t seed = 1;
    std::size_t nodes = 3;
    std::size_t zones = 3;
    std::size_t backends = 6;
    std::uint32_t slots = 2;
    std::int64_t retentionMs = 25000;
    std::int64_t listLagMs = 300;
    std::uint32_t queue = 200;
};

// Variant -------------------------------------------------------------------------------------------

enum class Variant : std::uint8_t {
    None,
    SameIncarnation,   // G1: a restarted process reuses its old incarnation, but has lost its state
    PartialAnswer,     // G2: a failed job is answered as complete with the results so far
    MixedAnswers,      // G3: an answer is delivered to the caller that asked next
    StrongRefusal,     // G4: attempt_not_run is passed on as not_run
    UnknownNotStarted, // G5: a lost connection is reported as not started
    LeavingIgnored,    // G6: entry VMs do not learn that a backend server is leaving
    HardStop,          // G7: a planned stop ends the process at once
    SkippedRecord,     // G8: one entry VM skips every third configuration record
};

std::optional<Variant> parseVariant(std::string_view name);

// World ---------------------------------------------------------------------------------------------

enum class BackendMode : std::uint8_t {
    Ok,
    Failing, // each task fails at once
    Stalled, // tasks end only when their lease ends
    Busy,    // rejects every attempt as busy
    Mute,    // runs the task, but the connection breaks before the answer
    Late,    // the connection breaks first, the task starts afterwards
    Crashed,
};

enum class LogMode : std::uint8_t { Up, Down, Slow };

struct Submission
{
    std::string id;
    std::size_t node = 0;
    std::string templateName = "once";
    std::uint32_t tasks = 1;
    std::uint32_t runMs = 50;
    std::int64_t deadlineMs = 3000;
    std::int64_t issuedMs = 0; // relative to now; only the first submission with this id uses it
    std::uint32_t body = 0;
    bool wait = true;
};

class World
{
public:
    explicit World(const WorldOptions &options, Variant variant = Variant::None);
    ~World();

    void run(std::int64_t ms);
    void settle(std::int64_t ms); // ends all faults, runs, and checks what must hold without faults

    // Callers and operators.
    void submit(const Submission &submission);
    void cancel(const std::string &id, std::size_t node);
    void fetch(const std::string &id, std::size_t node, std::int64_t waitMs);
    void publish(const std::string &entry, const std::string &text, std::optional<std::int64_t> base);

    // Faults.
    void crash(std::size_t node);
    void restart(std::size_t node);
    void setFrozen(std::size_t node, bool isFrozen);
    void drain(std::size_t node);
    void stepClock(std::size_t node, std::int64_t ms);
    void cutNodes(std::size_t a, std::size_t b, bool isCut);
    void cutPlatform(std::size_t node, bool isCut);
    void cutBackend(std::size_t node, std::size_t backend, bool isCut);
    void cutZone(std::size_t zone, bool isCut);
    void setLog(LogMode mode) { m_logMode = mode; }
    void loseAppends(int count) { m_appendsToLose = count; }
    void setListUp(bool isUp) { m_isListUp = isUp; }
    void setBackend(std::size_t backend, BackendMode mode, double factor);
    void setLeaving(std::size_t backend); // cannot be undone
    void removeBackend(std::size_t backend);

    // State, for expectations.
    const Oracle &oracle() const { return m_oracle; }
    const core::Dispatcher *core(std::size_t node) const { return m_nodes[node].core.get(); }
    bool isUp(std::size_t node) const { return m_nodes[node].core != nullptr; }
    std::size_t nodeCount() const { return m_nodes.size(); }
    std::size_t backendCount() const { return m_backends.size(); }
    std::size_t zoneCount() const { return m_options.zones; }
    bool isConfigAgreed() const; // every running entry VM has applied the whole configuration log
    std::int64_t version(const std::string &entry) const;
    std::uint64_t received(std::size_t backend) const { return m_backends[backend].received; }

private:
    struct Node
    {
        core::CoreSettings settings;
        std::unique_ptr<core::Dispatcher> core; // null: down
        std::uint64_t process = 0;              // new number for each start
        bool isFrozen = false;
        std::int64_t wallOffsetMs = 0;
        std::deque<core::Event> heldEvents; // not handled yet, while frozen
        std::set<std::size_t> wantedLinks;  // links that the core requested
        std::array<std::int64_t, 2> logNext{};
        std::array<bool, 2> isCaughtUp{};
        std::uint64_t timer = 0;                     // generation of the last SetTimer
        std::map<std::string, std::size_t> attempts; // attempts in progress -> backend server
        bool isPlatformCut = false;
        std::set<std::size_t> cutBackends;
        std::uint64_t skipped = 0; // counts records for Variant::SkippedRecord
    };
    struct Link
    {
        bool isUp = false;
        bool isCut = false;
        std::uint64_t epoch = 0;
        std::int64_t upSinceUs = 0;
        std::array<std::int64_t, 2> lastUs{}; // last delivery in each direction
    };
    struct Running
    {
        std::string payload;
        std::size_t node = 0;
        std::uint64_t process = 0;
    };
    struct Backend
    {
        core::BackendInfo info;
        BackendMode mode = BackendMode::Ok;
        double factor = 1;
        bool isGone = false;
        std::uint64_t received = 0;
        std::map<std::string, Running> running;
        std::map<std::string, core::AttemptStatus> ended;
    };
    struct StreamLog
    {
        std::vector<core::LogRecord> records; // with offsets from first on
        std::int64_t first = 0;
        std::int64_t end() const { return first + static_cast<std::int64_t>(records.size()); }
    };

    std::int64_t wallMs() const;
    std::int64_t randomBetween(std::int64_t lowUs, std::int64_t highUs);
    void schedule(std::int64_t delayUs, std::function<void()> action);
    void tick(); // links, log readers, VM list
    void start(std::size_t node);
    void deliver(std::size_t node, std::uint64_t process, core::Event event);
    void handle(std::size_t node, core::Event event);
    void answer(const core::AnswerCaller &action);
    void performAction(std::size_t node, core::Action &action);
    void send(std::size_t node, core::SendPeer &action);
    void append(std::size_t node, const core::AppendLog &action);
    void addRecord(core::Stream stream, core::LogBody body);
    void startAttempt(std::size_t node, const core::StartAttempt &action);
    void execute(std::size_t backend, const core::StartAttempt &action, Running running);
    void finish(std::size_t backend, const core::AttemptId &attempt, core::AttemptState state, bool isAnswered);
    void endAttempt(const Running &running, const core::AttemptId &attempt, core::AttemptOutcome outcome,
                    const std::string &result, std::int64_t delayUs);
    void readLog(std::size_t node, core::Stream stream);
    void readList(std::size_t node);
    void dropOldRecords();
    void updateLink(std::size_t a, std::size_t b);
    void setLinkUp(std::size_t a, std::size_t b, bool isUp);
    void stop(std::size_t node);
    Link &link(std::size_t a, std::size_t b) { return m_links[std::min(a, b) * m_nodes.size() + std::max(a, b)]; }
    std::optional<std::size_t> findBackend(const std::string &address) const;
    core::Key keyOf(const std::string &id, std::int64_t issuedMs);

    WorldOptions m_options;
    Variant m_variant;
    std::mt19937_64 m_random;
    Oracle m_oracle;
    std::int64_t m_nowUs = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::pair<std::int64_t, std::uint64_t>, std::function<void()>> m_queue;
    std::vector<Node> m_nodes;
    std::vector<Link> m_links;
    std::vector<Backend> m_backends;
    std::array<StreamLog, 2> m_log;
    core::Configuration m_reference; // result of applying the whole configuration stream
    LogMode m_logMode = LogMode::Up;
    int m_appendsToLose = 0;
    std::int64_t m_snapshotOutageMs = 0; // total time without an entry VM that can append a snapshot
    bool m_isListUp = true;
    std::deque<std::pair<std::int64_t, core::VmListRead>> m_listHistory; // ascending by time
    std::map<std::string, core::Key> m_keys;                             // by submission id
    std::uint64_t m_nextCaller = 1;
    std::uint64_t m_nextChange = 1;
    std::uint64_t m_nextProcess = 1;
    std::optional<core::AnswerCaller> m_delayedAnswer; // for Variant::MixedAnswers
};

} // namespace clementinelift::fuzz
