// CBOR of peer messages and log records. Each struct is described once, for reading and writing and for both forms. Log
// records are maps with field names, because they are stored and inspected by operators. Peer messages are lists
// without field names, which makes the periodic messages about a third as long.
#include "net/bounded_json.h"
#include "net/codec.h"

#include <cmath>

namespace clementinelift::net {

namespace {

using namespace core;

constexpr std::int64_t maxWireInteger = std::int64_t(1)
        << 53; // keeps sums and products of times and offsets from overflowing
constexpr ParseLimits wireLimits{8, 1u << 20};
constexpr std::size_t partitionBytes = partitionCount / 8;
constexpr std::size_t keyBytes = 16;
constexpr char typeField[] = "t"; // the first field of every message and record

// Matches Struct and const Struct.
template <typename T, typename Struct>
concept MaybeConst = std::same_as<std::remove_const_t<T>, Struct>;

// Number of enumerators, for the range check of decoded values.
template <typename E> constexpr unsigned enumeratorCount = static_cast<unsigned>(E::Count);
template <> constexpr unsigned enumeratorCount<NodeState> = 4;
template <> constexpr unsigned enumeratorCount<SubmitKind> = 4;
template <> constexpr unsigned enumeratorCount<AnswerKind> = 4;
template <> constexpr unsigned enumeratorCount<Statement> = 3;
template <> constexpr unsigned enumeratorCount<Effects> = 2;
template <> constexpr unsigned enumeratorCount<AttemptOutcome> = 5;

// Names of the alternatives, in the order of the variant.
constexpr std::string_view logNames[] = {"grant", "release", "change", "snapshot"};
constexpr std::string_view peerNames[] = {
        "probe",      "probeAck",   "probeRequest", "submitForward", "submitResult",  "slotRequest",   "slotGrant",
        "slotRefuse", "slotReturn", "report",       "configRequest", "configRecords", "backendLeaving"};
static_assert(std::size(logNames) == std::variant_size_v<LogBody>);
static_assert(std::size(peerNames) == std::variant_size_v<PeerMessage>);

template <typename Variant> constexpr std::span<const std::string_view> namesOf()
{
    if constexpr (std::same_as<Variant, LogBody>)
        return logNames;
    else
        return peerNames;
}

// Fields --------------------------------------------------------------------------------------------

void describe(auto &io, MaybeConst<GrantRecord> auto &grant)
{
    io.text("node", grant.node);
    io.text("address", grant.address);
    io.value("incarnation", grant.incarnation);
    io.value("partitions", grant.partitions);
    io.value("fromMs", grant.fromMs);
    io.value("toMs", grant.toMs);
}

void describe(auto &io, MaybeConst<ReleaseRecord> auto &release)
{
    io.value("incarnation", release.incarnation);
    io.value("atMs", release.atMs);
}

void describe(auto &io, MaybeConst<ConfigEntryChange> auto &entry)
{
    io.text("name", entry.name);
    io.value("baseVersion", entry.baseVersion);
    io.text("text", entry.text);
}

void describe(auto &io, MaybeConst<ChangeRecord> auto &change)
{
    io.text("changeId", change.changeId);
    io.text("author", change.author);
    io.list("entries", change.entries);
}

void describe(auto &io, MaybeConst<ConfigEntry> auto &entry)
{
    io.text("name", entry.name);
    io.value("version", entry.version);
    io.text("author", entry.author);
    io.text("changeId", entry.changeId);
    io.text("text", entry.text);
}

void describe(auto &io, MaybeConst<SnapshotRecord> auto &snapshot)
{
    io.value("nextOffset", snapshot.nextOffset);
    io.list("entries", snapshot.entries);
}

void describe(auto &io, MaybeConst<LogRecord> auto &record)
{
    io.value("offset", record.offset);
    io.value("timeMs", record.timeMs);
    io.variant("body", record.body);
}

void describe(auto &io, MaybeConst<NodeInfo> auto &node)
{
    io.text("name", node.name);
    io.text("address", node.address);
    io.text("zone", node.zone);
    io.value("incarnation", node.incarnation);
    io.value("leaving", node.leaving);
}

void describe(auto &io, MaybeConst<MemberUpdate> auto &update)
{
    io.object("node", update.node);
    io.value("state", update.state);
    io.value("version", update.version);
}

template <typename T>
requires MaybeConst<T, Probe> || MaybeConst<T, ProbeAck>
void describe(auto &io, T &probe)
{
    io.value("sequence", probe.sequence);
    io.value("wallMs", probe.wallMs);
    io.list("updates", probe.updates);
}

void describe(auto &io, MaybeConst<ProbeRequest> auto &request)
{
    io.value("sequence", request.sequence);
    io.text("target", request.target);
}

void describe(auto &io, MaybeConst<TaskRequest> auto &task)
{
    io.bytes("payload", task.payload);
    io.value("runMs", task.runMs);
    io.value("cores", task.cores);
    io.value("memoryMb", task.memoryMb);
}

void describe(auto &io, MaybeConst<JobRequest> auto &request)
{
    io.text("organisation", request.organisation);
    io.text("templateName", request.templateName);
    io.value("key", request.key);
    io.value("deadlineMs", request.deadlineMs);
    io.value("bodyHash", request.bodyHash);
    io.list("tasks", request.tasks);
}

void describe(auto &io, MaybeConst<SubmitForward> auto &forward)
{
    io.value("requestId", forward.requestId);
    io.value("kind", forward.kind);
    io.value("waitMs", forward.waitMs);
    io.object("request", forward.request);
}

void describe(auto &io, MaybeConst<Answer> auto &answer)
{
    io.value("kind", answer.kind);
    io.value("statement", answer.statement);
    io.value("effects", answer.effects);
    io.value("reason", answer.reason);
    io.bytesList("results", answer.results);
    io.text("detail", answer.detail);
}

void describe(auto &io, MaybeConst<SubmitResult> auto &result)
{
    io.value("requestId", result.requestId);
    io.object("answer", result.answer);
}

void describe(auto &io, MaybeConst<SlotRequest> auto &request)
{
    io.value("requestId", request.requestId);
    io.text("templateName", request.templateName);
    io.value("cores", request.cores);
    io.value("memoryMb", request.memoryMb);
    io.value("maxServiceUs", request.maxServiceUs);
}

void describe(auto &io, MaybeConst<SlotGrant> auto &grant)
{
    io.value("requestId", grant.requestId);
    io.text("backend", grant.backend);
    io.value("leaseMs", grant.leaseMs);
}

void describe(auto &io, MaybeConst<SlotRefuse> auto &refuse)
{
    io.value("requestId", refuse.requestId);
}

void describe(auto &io, MaybeConst<SlotReturn> auto &slot)
{
    io.value("requestId", slot.requestId);
    io.value("used", slot.used);
    io.value("outcome", slot.outcome);
    io.value("serviceUs", slot.serviceUs);
}

void describe(auto &io, MaybeConst<OrganisationDemand> auto &demand)
{
    io.text("organisation", demand.organisation);
    io.value("running", demand.running);
    io.value("waiting", demand.waiting);
    io.value("startsPerS", demand.startsPerS);
}

void describe(auto &io, MaybeConst<DemandReport> auto &report)
{
    io.list("organisations", report.organisations);
}

void describe(auto &io, MaybeConst<Report> auto &report)
{
    io.value("freeSlots", report.freeSlots);
    io.value("queuedTasks", report.queuedTasks);
    io.value("bestFactor", report.bestFactor);
    io.value("configNext", report.configNext);
    io.value("ownershipNext", report.ownershipNext);
    io.optional("demand", report.demand);
}

void describe(auto &io, MaybeConst<ConfigRequest> auto &request)
{
    io.value("nextOffset", request.nextOffset);
}

void describe(auto &io, MaybeConst<ConfigRecords> auto &records)
{
    io.optional("snapshot", records.snapshot);
    io.list("records", records.records);
    io.value("nextOffset", records.nextOffset);
}

void describe(auto &io, MaybeConst<BackendLeaving> auto &leaving)
{
    io.text("backend", leaving.backend);
}

// Writing -------------------------------------------------------------------------------------------

Json::binary_t toBinary(std::string_view bytes)
{
    return Json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

enum class Form : std::uint8_t { Map, List };

template <Form form> class Writer
{
public:
    template <typename T> void value(const char *name, T value)
    {
        if constexpr (std::is_enum_v<T>)
            add(name, raw(value));
        else
            add(name, value);
    }
    void value(const char *name, const PartitionSet &partitions)
    {
        std::vector<std::uint8_t> bytes(partitionBytes);
        for (std::size_t i = 0; i < partitionCount; ++i)
            bytes[i / 8] = static_cast<std::uint8_t>(bytes[i / 8] | (partitions[i] ? 1u << (i % 8) : 0u));
        add(name, Json::binary_t(std::move(bytes)));
    }
    void value(const char *name, const Key &key)
    {
        std::vector<std::uint8_t> bytes;
        for (const std::uint64_t half : {key.high, key.low}) {
            for (int shift = 56; shift >= 0; shift -= 8)
                bytes.push_back(static_cast<std::uint8_t>(half >> shift));
        }
        add(name, Json::binary_t(std::move(bytes)));
    }
    void text(const char *name, const std::string &value) { add(name, value); }
    void bytes(const char *name, const std::string &value) { add(name, toBinary(value)); }
    void bytesList(const char *name, const std::vector<std::string> &values)
    {
        Json list = Json::array();
        for (const std::string &value : values)
            list.push_back(toBinary(value));
        add(name, std::move(list));
    }
    template <typename T> void object(const char *name, const T &value) { add(name, write(value)); }
    template <typename T> void list(const char *name, const std::vector<T> &values)
    {
        Json list = Json::array();
        for (const T &value : values)
            list.push_back(write(value));
        add(name, std::move(list));
    }
    template <typename T> void optional(const char *name, const std::optional<T> &value)
    {
        add(name, value ? write(*value) : Json());
    }
    template <typename Variant> void variant(const char *name, const Variant &value) { add(name, writeVariant(value)); }

    template <typename Variant> static Json writeVariant(const Variant &value)
    {
        Writer writer;
        if constexpr (form == Form::Map)
            writer.add(typeField, namesOf<Variant>()[value.index()]);
        else
            writer.add(typeField, value.index());
        std::visit([&](const auto &body) { describe(writer, body); }, value);
        return std::move(writer.m_fields);
    }

private:
    template <typename T> static Json write(const T &value)
    {
        Writer writer;
        describe(writer, value);
        return std::move(writer.m_fields);
    }
    void add(const char *name, Json value)
    {
        if constexpr (form == Form::Map)
            m_fields[name] = std::move(value);
        else
            m_fields.push_back(std::move(value));
    }

    Json m_fields = form == Form::Map ? Json::object() : Json::array();
};

template <Form form, typename Variant> std::string encode(const Variant &value)
{
    std::string bytes;
    Json::to_cbor(Writer<form>::writeVariant(value), bytes);
    return bytes;
}

// Reading -------------------------------------------------------------------------------------------

// Reads one map or list. Keeps the first error and reads no field after it.
template <Form form> class Reader
{
public:
    Reader(const Json &map, std::string place, std::optional<DecodeError> &error)
        : m_map(map), m_place(std::move(place)), m_error(error)
    {
        if (form == Form::Map ? !map.is_object() : !map.is_array())
            fail("", form == Form::Map ? "must be a map" : "must be a list");
    }

    template <typename T> void value(const char *name, T &target)
    {
        const Json *found = find(name);
        if (found == nullptr)
            return;
        if constexpr (std::same_as<T, bool>) {
            if (found->is_boolean())
                target = found->template get<bool>();
            else
                fail(name, "must be true or false");
        } else if constexpr (std::floating_point<T>) {
            const double number = found->is_number() ? found->template get<double>() : -1;
            if (std::isfinite(number) && number >= 0 && number <= static_cast<double>(maxWireInteger))
                target = static_cast<T>(number);
            else
                fail(name, "must be a finite number, not negative");
        } else if constexpr (std::same_as<T, Incarnation>) {
            readInteger(name, *found, std::numeric_limits<std::uint64_t>::max(), target);
        } else if constexpr (std::is_enum_v<T>) {
            readInteger(name, *found, enumeratorCount<T> - 1, target);
        } else if constexpr (std::signed_integral<T>) {
            readInteger(name, *found, std::min<std::int64_t>(maxWireInteger, std::numeric_limits<T>::max()), target);
        } else {
            readInteger(name, *found, std::numeric_limits<T>::max(), target);
        }
    }
    void value(const char *name, PartitionSet &target)
    {
        const Json::binary_t *bytes = findBytes(name, partitionBytes);
        for (std::size_t i = 0; bytes != nullptr && i < partitionCount; ++i)
            target[i] = (((*bytes)[i / 8] >> (i % 8)) & 1u) != 0;
    }
    void value(const char *name, Key &target)
    {
        const Json::binary_t *bytes = findBytes(name, keyBytes);
        if (bytes == nullptr)
            return;
        Key key;
        for (std::size_t i = 0; i < keyBytes; ++i) {
            std::uint64_t &half = i < keyBytes / 2 ? key.high : key.low;
            half = half << 8 | (*bytes)[i];
        }
        if (makeKey(issueTimeMs(key), key.high, key.low) != key)
            fail(name, "must be a UUID of version 7");
        target = key;
    }
    void text(const char *name, std::string &target)
    {
        const Json *found = find(name);
        if (found == nullptr)
            return;
        if (const auto *text = found->get_ptr<const std::string *>())
            target = *text;
        else
            fail(name, "must be a text");
    }
    void bytes(const char *name, std::string &target)
    {
        if (const Json *found = find(name))
            readBytes(name, *found, target);
    }
    void bytesList(const char *name, std::vector<std::string> &target)
    {
        const Json *found = findList(name);
        for (std::size_t i = 0; found != nullptr && i < found->size(); ++i)
            readBytes(name + ("[" + std::to_string(i) + "]"), (*found)[i], target.emplace_back());
    }
    template <typename T> void object(const char *name, T &target)
    {
        if (const Json *found = find(name))
            read(*found, placeOf(name), target);
    }
    template <typename T> void list(const char *name, std::vector<T> &target)
    {
        const Json *found = findList(name);
        for (std::size_t i = 0; found != nullptr && !m_error && i < found->size(); ++i)
            read((*found)[i], placeOf(name + ("[" + std::to_string(i) + "]")), target.emplace_back());
    }
    template <typename T> void optional(const char *name, std::optional<T> &target)
    {
        const Json *found = find(name);
        if (found != nullptr && !found->is_null())
            read(*found, placeOf(name), target.emplace());
    }
    template <typename Variant> void variant(const char *name, Variant &target)
    {
        if (const Json *found = find(name)) {
            Reader reader(*found, placeOf(name), m_error);
            reader.readVariant(target);
        }
    }

    // The first field holds the type of the alternative.
    template <typename Variant> void readVariant(Variant &target)
    {
        const std::size_t index = readType(namesOf<Variant>());
        if (m_error)
            return;
        [&]<std::size_t... i>(std::index_sequence<i...>)
        {
            ((i == index ? describe(*this, target.template emplace<i>()) : void()), ...);
        }
        (std::make_index_sequence<std::variant_size_v<Variant>>());
    }

private:
    std::size_t readType(std::span<const std::string_view> names)
    {
        if constexpr (form == Form::List) {
            std::uint32_t index = 0;
            value(typeField, index);
            if (index >= names.size())
                fail(typeField, "unknown message type");
            return index;
        } else {
            std::string type;
            text(typeField, type);
            const auto found = std::find(names.begin(), names.end(), type);
            if (found == names.end())
                fail(typeField, "unknown message type");
            return static_cast<std::size_t>(found - names.begin());
        }
    }
    template <typename T> void read(const Json &value, std::string place, T &target)
    {
        Reader reader(value, std::move(place), m_error);
        describe(reader, target);
    }
    template <typename T> void readInteger(const char *name, const Json &value, std::uint64_t max, T &target)
    {
        if (value.is_number_unsigned() && value.get<std::uint64_t>() <= max)
            target = static_cast<T>(value.get<std::uint64_t>());
        else
            fail(name, "must be a whole number 0 .. " + std::to_string(max));
    }
    void readBytes(const std::string &name, const Json &value, std::string &target)
    {
        if (value.is_binary())
            target.assign(value.get_binary().begin(), value.get_binary().end());
        else
            fail(name, "must be a byte string");
    }
    const Json *find(const char *name)
    {
        if (m_error)
            return nullptr;
        if constexpr (form == Form::Map) {
            const auto found = m_map.find(name);
            if (found != m_map.end())
                return &*found;
        } else if (m_next < m_map.size()) {
            return &m_map[m_next++];
        }
        fail(name, "is missing");
        return nullptr;
    }
    const Json *findList(const char *name)
    {
        const Json *found = find(name);
        if (found == nullptr || found->is_array())
            return found;
        fail(name, "must be a list");
        return nullptr;
    }
    const Json::binary_t *findBytes(const char *name, std::size_t size)
    {
        const Json *found = find(name);
        if (found == nullptr || (found->is_binary() && found->get_binary().size() == size))
            return found != nullptr ? &found->get_binary() : nullptr;
        fail(name, "must be a byte string of " + std::to_string(size) + " bytes");
        return nullptr;
    }
    std::string placeOf(const std::string &name) const { return m_place.empty() ? name : m_place + "." + name; }
    void fail(const std::string &name, std::string detail)
    {
        if (!m_error)
            m_error = DecodeError{name.empty() ? m_place : placeOf(name), std::move(detail)};
    }

    const Json &m_map; // a list for Form::List
    std::string m_place;
    std::optional<DecodeError> &m_error;
    std::size_t m_next = 0; // next element, for Form::List
};

template <Form form, typename Variant> Decoded<Variant> decode(std::string_view bytes)
{
    std::string problem;
    const Json map = parseBounded(bytes, Json::input_format_t::cbor, wireLimits, problem);
    if (map.is_discarded())
        return tl::unexpected(DecodeError{"", "not CBOR: " + problem});
    std::optional<DecodeError> error;
    Variant value;
    Reader<form> reader(map, "", error);
    reader.readVariant(value);
    if (error)
        return tl::unexpected(*std::move(error));
    return value;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return encode<Form::List>(message);
}

Decoded<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decode<Form::List, PeerMessage>(bytes);
}

std::string_view peerMessageName(const PeerMessage &message)
{
    return peerNames[message.index()];
}

std::string encodeLogBody(const LogBody &body)
{
    return encode<Form::Map>(body);
}

Decoded<LogBody> decodeLogBody(std::string_view bytes)
{
    return decode<Form::Map, LogBody>(bytes);
}

} // namespace clementinelift::net
