#include "net/fleet_codec.h"

#include "net/bounded_json.h"

#include <algorithm>

namespace clementinelift::net {

namespace {

using command::CapacityReport;
using command::PeerMessage;
using command::PlaceTasks;

constexpr ParseLimits frameLimits{8, 200000};
constexpr command::TimeUs maxReportedWaitUs = 10 * command::usPerS; // sums of many waits must not overflow

// A message is an array: its type, then its fields in the order of the struct. Leaving out field names keeps
// the frames small, because traffic between availability zones is charged by the byte.
enum class Type : std::uint8_t { Place, Ended, Stop, Room, Configuration, Forward, Gone, Answer };

Json encodeResources(const command::Resources &resources)
{
    return Json::array({resources.milliCores, resources.memoryMb, resources.accelerators});
}

Json encode(const PlaceTasks &message)
{
    Json items = Json::array();
    for (const PlaceTasks::Item &item : message.items)
        items.push_back(Json::array({item.index, item.run, item.server}));
    return Json::array({Type::Place, message.job, message.spec, message.service, encodeResources(message.taskResources),
                        message.expectedUs, message.sequence, message.echo, message.lossCount, std::move(items)});
}

Json encode(const command::TaskEnded &message)
{
    return Json::array({Type::Ended, message.task.job, message.task.index, message.run,
                        static_cast<unsigned>(message.end), message.maxRemainingUs, message.server});
}

Json encode(const command::StopJob &message)
{
    return Json::array({Type::Stop, message.job, message.stalled, message.stalledIndex});
}

Json encode(const CapacityReport &message)
{
    Json capacities = Json::array();
    for (const CapacityReport::ServerCapacity &room : message.capacities) {
        constexpr double perMille = 1000;
        Json row = Json::array({room.server, encodeResources(room.free),
                                static_cast<std::int64_t>(room.speed * perMille), room.token, room.usable});
        if (room.startsLeft != command::unlimitedStarts)
            row.push_back(room.startsLeft);
        capacities.push_back(std::move(row));
    }
    Json crashes = Json::array();
    for (const command::CrashCount &crash : message.crashes)
        crashes.push_back(Json::array(
                {crash.task.job, crash.task.index, crash.count, crash.suspected, crash.lost, crash.decided}));
    Json starts = Json::array();
    for (const command::UnconfirmedStart &start : message.unconfirmedStarts)
        starts.push_back(Json::array({start.task.job, start.task.index, start.server, start.run,
                                      static_cast<unsigned>(start.fate), start.occurrence, start.remainingUs}));
    Json frame = Json::array({Type::Room, message.sentAt, message.coordinates, message.stopping, message.lastSequence,
                              message.hasRecentContact, message.lossCount, std::move(capacities),
                              message.configurationVersion, message.wantsCapacity, message.startQueueUs,
                              message.perStartUs, std::move(crashes), std::move(starts), message.confirmedSequence,
                              message.holdsShards, message.handoverInUs, message.knowsEvacuations});
    if (message.evacuations) {
        Json zones = Json::array();
        for (const command::ZoneEvacuation &zone : message.evacuations->zones)
            zones.push_back(Json::array({zone.zone, zone.requested, zone.offset}));
        frame.push_back(message.evacuations->completeOffset);
        frame.push_back(std::move(zones));
    }
    return frame;
}

Json encode(const command::RelayedConfiguration &message)
{
    Json routes = Json::array();
    for (const command::Route &route : message.configuration.routes) {
        routes.push_back(Json::array({route.name, route.host, route.prefix, route.service, route.priority,
                                      route.maxAttempts, route.stretch, route.targetUs, route.timeoutUs}));
    }
    Json services = Json::array();
    for (const command::Service &service : message.configuration.services)
        services.push_back(Json::array({service.name, service.rejectsOverload, service.coldStartUs, service.coldPerS}));
    return Json::array({Type::Configuration, message.configuration.version, std::move(routes), std::move(services)});
}

Json encode(const command::ForwardRequest &message)
{
    const command::CallerRequest &request = message.request;
    Json frame = Json::array({Type::Forward, message.sequence, message.echo, static_cast<unsigned>(request.verb),
                              request.host, request.path, request.budgetUs, request.job.has_value()});
    if (!request.job)
        return frame;
    Json steps = Json::array();
    for (const command::StepRequest &step : request.job->steps) {
        steps.push_back(Json::array({step.count, encodeResources(step.taskResources), step.estimateUs,
                                     step.requiredLabel, step.unsupported}));
        if (!step.dataRack.empty())
            steps.back().push_back(step.dataRack);
    }
    frame.push_back(request.job->spec);
    frame.push_back(request.job->answerIsResult);
    frame.push_back(request.job->unsupported);
    frame.push_back(std::move(steps));
    return frame;
}

Json encode(const command::ForwardGone &message)
{
    return Json::array({Type::Gone, message.sequence});
}

Json encode(const command::ForwardAnswer &message)
{
    const command::AnswerCaller &answer = message.answer;
    return Json::array({Type::Answer, message.sequence, static_cast<unsigned>(answer.kind), answer.reason,
                        answer.detail, answer.retryAfterUs, answer.pending, answer.running});
}

// Reads the elements of one array in order. Reads nothing after the first element of a wrong type.
class Elements
{
public:
    Elements(const Json &array, std::size_t first) : m_array(array), m_next(first), m_valid(array.is_array()) {}

    template <typename T> T number()
    {
        const Json *value = take();
        std::optional<T> number;
        if constexpr (std::is_floating_point_v<T>)
            number = value != nullptr && value->is_number() ? std::optional(value->get<T>()) : std::nullopt;
        else
            number = value != nullptr ? readInteger<T>(*value) : std::nullopt;
        m_valid = m_valid && number.has_value();
        return number.value_or(T{});
    }
    std::string text()
    {
        const Json *value = take();
        if (value == nullptr || !value->is_string()) {
            m_valid = false;
            return {};
        }
        return *value;
    }
    bool flag()
    {
        const Json *value = take();
        if (value == nullptr || !value->is_boolean()) {
            m_valid = false;
            return false;
        }
        return *value;
    }
    const Json &list()
    {
        static const Json none = Json::array();
        const Json *value = take();
        if (value == nullptr || !value->is_array()) {
            m_valid = false;
            return none;
        }
        return *value;
    }
    command::Resources resources()
    {
        Elements fields(list(), 0);
        const auto milliCores = fields.number<std::int64_t>();
        const auto memoryMb = fields.number<std::int64_t>();
        const auto accelerators = fields.number<std::int64_t>();
        m_valid = m_valid && fields.isValid();
        return {milliCores, memoryMb, accelerators};
    }
    bool isValid() const { return m_valid; }
    bool hasMore() const { return m_valid && m_next < m_array.size(); }

private:
    const Json *take() { return m_valid && m_next < m_array.size() ? &m_array[m_next++] : nullptr; }

    const Json &m_array;
    std::size_t m_next;
    bool m_valid;
};

bool decodePlace(Elements &fields, PlaceTasks &message)
{
    message.job = fields.text();
    message.spec = fields.text();
    message.service = fields.text();
    message.taskResources = fields.resources();
    message.expectedUs = fields.number<command::TimeUs>();
    message.sequence = fields.number<std::uint64_t>();
    message.echo = fields.number<command::TimeUs>();
    message.lossCount = fields.number<std::uint32_t>();
    for (const Json &row : fields.list()) {
        Elements item(row, 0);
        const auto index = item.number<std::uint32_t>();
        const auto run = item.number<command::RunNumber>();
        message.items.push_back({index, run, item.text()});
        if (!item.isValid())
            return false;
    }
    return fields.isValid();
}

bool decodeEnded(Elements &fields, command::TaskEnded &message)
{
    message.task.job = fields.text();
    message.task.index = fields.number<std::uint32_t>();
    message.run = fields.number<command::RunNumber>();
    const auto end = fields.number<unsigned>();
    message.end = static_cast<command::RunEnd>(end);
    message.maxRemainingUs = fields.number<command::TimeUs>();
    message.server = fields.text();
    return fields.isValid() && end <= static_cast<unsigned>(command::RunEnd::NotAsked);
}

bool decodeStop(Elements &fields, command::StopJob &message)
{
    message.job = fields.text();
    message.stalled = fields.flag();
    message.stalledIndex = fields.number<std::uint32_t>();
    return fields.isValid();
}

bool decodeRoom(Elements &fields, CapacityReport &message)
{
    message.sentAt = fields.number<command::TimeUs>();
    message.coordinates = fields.flag();
    message.stopping = fields.flag();
    message.lastSequence = fields.number<std::uint64_t>();
    message.hasRecentContact = fields.flag();
    message.lossCount = fields.number<std::uint32_t>();
    for (const Json &row : fields.list()) {
        constexpr double perMille = 1000;
        Elements items(row, 0);
        CapacityReport::ServerCapacity room;
        room.server = items.text();
        room.free = items.resources();
        room.speed = std::max(items.number<double>() / perMille, 0.001);
        room.token = items.number<command::FencingToken>();
        room.usable = items.flag();
        if (items.hasMore()) // only when limited
            room.startsLeft = items.number<std::uint32_t>();
        if (!items.isValid())
            return false;
        message.capacities.push_back(std::move(room));
    }
    message.configurationVersion = fields.number<std::int64_t>();
    if (fields.hasMore()) // earlier versions do not send it
        message.wantsCapacity = fields.flag();
    if (fields.hasMore()) {
        message.startQueueUs = std::clamp<command::TimeUs>(fields.number<command::TimeUs>(), 0, maxReportedWaitUs);
        message.perStartUs = std::clamp<command::TimeUs>(fields.number<command::TimeUs>(), 0, maxReportedWaitUs);
    }
    if (fields.hasMore()) {
        for (const Json &row : fields.list()) {
            Elements items(row, 0);
            std::string job = items.text();
            const auto index = items.number<std::uint32_t>();
            command::CrashCount crash{{std::move(job), index}, items.number<std::uint32_t>()};
            if (items.hasMore()) { // earlier versions do not send them
                crash.suspected = items.number<std::uint32_t>();
                crash.lost = items.number<std::uint32_t>();
                crash.decided = items.number<std::uint32_t>();
            }
            if (!items.isValid())
                return false;
            message.crashes.push_back(std::move(crash));
        }
    }
    if (fields.hasMore()) { // earlier versions do not send them
        for (const Json &row : fields.list()) {
            Elements items(row, 0);
            command::UnconfirmedStart start;
            start.task.job = items.text();
            start.task.index = items.number<std::uint32_t>();
            start.server = items.text();
            start.run = items.number<command::RunNumber>();
            const auto fate = items.number<unsigned>();
            start.fate = static_cast<command::StartFate>(fate);
            start.occurrence = items.number<std::uint32_t>();
            start.remainingUs = items.number<command::TimeUs>();
            if (!items.isValid() || fate > static_cast<unsigned>(command::StartFate::Settled))
                return false;
            message.unconfirmedStarts.push_back(std::move(start));
        }
    }
    message.confirmedSequence = fields.hasMore() ? fields.number<std::uint64_t>() : message.lastSequence;
    message.holdsShards = !fields.hasMore() || fields.flag();
    message.handoverInUs = fields.hasMore() ? fields.number<command::TimeUs>() : 0;
    if (fields.hasMore()) // earlier versions do not know of evacuations
        message.knowsEvacuations = fields.flag();
    if (fields.hasMore()) {
        command::EvacuationState &state = message.evacuations.emplace();
        state.completeOffset = std::max<std::int64_t>(fields.number<std::int64_t>(), 0);
        for (const Json &row : fields.list()) {
            Elements items(row, 0);
            command::ZoneEvacuation &zone = state.zones.emplace_back();
            zone.zone = items.text();
            zone.requested = items.flag();
            zone.offset = items.number<std::int64_t>();
            if (!items.isValid())
                return false;
        }
    }
    return fields.isValid();
}

bool decodeConfiguration(Elements &fields, command::Configuration &configuration)
{
    configuration.version = fields.number<std::int64_t>();
    for (const Json &row : fields.list()) {
        Elements items(row, 0);
        command::Route route;
        route.name = items.text();
        route.host = items.text();
        route.prefix = items.text();
        route.service = items.text();
        route.priority = items.number<std::uint32_t>();
        route.maxAttempts = items.number<std::uint32_t>();
        route.stretch = items.number<double>();
        route.targetUs = items.number<command::TimeUs>();
        route.timeoutUs = items.number<command::TimeUs>();
        if (!items.isValid())
            return false;
        configuration.routes.push_back(std::move(route));
    }
    for (const Json &row : fields.list()) {
        Elements items(row, 0);
        std::string name = items.text();
        command::Service service{std::move(name), items.flag()};
        if (items.hasMore()) { // earlier versions do not send them
            service.coldStartUs = items.number<command::TimeUs>();
            service.coldPerS = items.number<double>();
        }
        if (!items.isValid())
            return false;
        configuration.services.push_back(std::move(service));
    }
    return fields.isValid();
}

bool decodeForward(Elements &fields, command::ForwardRequest &message)
{
    command::CallerRequest &request = message.request;
    message.sequence = fields.number<std::uint64_t>();
    message.echo = fields.number<command::TimeUs>();
    const auto verb = fields.number<unsigned>();
    request.verb = static_cast<command::Verb>(verb);
    request.host = fields.text();
    request.path = fields.text();
    request.budgetUs = fields.number<command::TimeUs>();
    if (!fields.flag())
        return fields.isValid() && verb <= static_cast<unsigned>(command::Verb::Cancel);
    command::JobRequest &job = request.job.emplace();
    job.spec = fields.text();
    job.answerIsResult = fields.flag();
    job.unsupported = fields.text();
    for (const Json &row : fields.list()) {
        Elements items(row, 0);
        command::StepRequest step;
        step.count = items.number<std::uint32_t>();
        step.taskResources = items.resources();
        step.estimateUs = items.number<command::TimeUs>();
        step.requiredLabel = items.text();
        step.unsupported = items.text();
        if (items.hasMore()) // earlier versions do not send it
            step.dataRack = items.text();
        if (!items.isValid())
            return false;
        job.steps.push_back(std::move(step));
    }
    return fields.isValid() && verb <= static_cast<unsigned>(command::Verb::Cancel);
}

bool decodeAnswer(Elements &fields, command::ForwardAnswer &message)
{
    command::AnswerCaller &answer = message.answer;
    message.sequence = fields.number<std::uint64_t>();
    const auto kind = fields.number<unsigned>();
    answer.kind = static_cast<command::AnswerKind>(kind);
    answer.reason = fields.text();
    answer.detail = fields.text();
    answer.retryAfterUs = fields.number<command::TimeUs>();
    answer.pending = fields.number<std::uint32_t>();
    answer.running = fields.flag();
    return fields.isValid() && kind <= static_cast<unsigned>(command::AnswerKind::Cancelled);
}

template <typename Message, typename Decode>
bool addDecoded(Elements &fields, std::vector<PeerMessage> &messages, Decode decode)
{
    Message message;
    if (!decode(fields, message))
        return false;
    messages.emplace_back(std::move(message));
    return true;
}

bool decodeMessage(const Json &array, std::vector<PeerMessage> &messages)
{
    Elements fields(array, 0);
    const auto type = fields.number<unsigned>();
    if (!fields.isValid())
        return false;
    switch (static_cast<Type>(type)) {
    case Type::Place:
        return addDecoded<PlaceTasks>(fields, messages, decodePlace);
    case Type::Ended:
        return addDecoded<command::TaskEnded>(fields, messages, decodeEnded);
    case Type::Stop:
        return addDecoded<command::StopJob>(fields, messages, decodeStop);
    case Type::Room:
        return addDecoded<CapacityReport>(fields, messages, decodeRoom);
    case Type::Forward:
        return addDecoded<command::ForwardRequest>(fields, messages, decodeForward);
    case Type::Gone:
        return addDecoded<command::ForwardGone>(fields, messages,
                                                [](Elements &elements, command::ForwardGone &message) {
                                                    message.sequence = elements.number<std::uint64_t>();
                                                    return elements.isValid();
                                                });
    case Type::Answer:
        return addDecoded<command::ForwardAnswer>(fields, messages, decodeAnswer);
    case Type::Configuration:
        return addDecoded<command::RelayedConfiguration>(
                fields, messages, [](Elements &elements, command::RelayedConfiguration &message) {
                    return decodeConfiguration(elements, message.configuration);
                });
    }
    return false;
}

} // namespace

std::string encodeFleetFrame(std::span<const PeerMessage> messages)
{
    Json frame = Json::array();
    for (const PeerMessage &message : messages)
        frame.push_back(std::visit([](const auto &content) { return encode(content); }, message));
    std::string bytes;
    Json::to_cbor(frame, bytes);
    return bytes;
}

bool decodeFleetFrame(std::string_view bytes, std::vector<PeerMessage> &messages)
{
    std::string ignored;
    const Json frame = parseBounded(bytes, Json::input_format_t::cbor, frameLimits, ignored);
    if (!frame.is_array())
        return false;
    for (const Json &message : frame) {
        if (!decodeMessage(message, messages))
            return false;
    }
    return true;
}

} // namespace clementinelift::net
