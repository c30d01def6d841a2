#include "command/configuration_check.h"

#include "command/route_table.h"
#include "command/text.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cctype>

namespace clementinelift::command {

namespace {

using Field = ConfigurationField;
using Part = ConfigurationPart;

// Bodies in progress may take three eighths of the memory of an entry VM, the default of its request budget. The rest
// is for the process and its jobs.
constexpr std::int64_t bodyBytesPerMb = (std::int64_t(1) << 20) * 3 / 8;

std::string quoted(std::string_view text)
{
    return concat("\"", text, "\"");
}

// Key of routes that match the same requests. Hosts are compared without case.
std::string matchKey(const Route &route)
{
    std::string key = route.host;
    std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return std::tolower(c); });
    return key.append(1, '\0').append(route.prefix);
}

bool isReadable(const FieldSet &unreadable, std::initializer_list<Field> fields)
{
    return !unreadable.contains(Field::Whole)
            && std::none_of(fields.begin(), fields.end(), [&](Field field) { return unreadable.contains(field); });
}

// Number of such tasks that an idle server runs at once. Draining servers count like others: that changes while the
// configuration stays.
std::int64_t countFitting(const Resources &task, const Resources &capacity)
{
    std::int64_t count = std::numeric_limits<std::uint32_t>::max(); // tasks without needs fit any number of times
    const auto limit = [&](std::int64_t needed, std::int64_t available) {
        if (needed > 0)
            count = std::min(count, available / needed);
    };
    limit(task.milliCores, capacity.milliCores);
    limit(task.memoryMb, capacity.memoryMb);
    limit(task.accelerators, capacity.accelerators);
    return count;
}

class Checker
{
public:
    Checker(const ConfigurationDraft &draft, const Facts &facts) : m_draft(draft), m_facts(facts)
    {
        for (std::size_t i = 0; i < draft.services.size(); ++i) {
            const ServiceDraft &service = draft.services[i];
            if (isReadable(service.unreadable, {Field::Name}))
                m_services.try_emplace(service.service.name, i);
            else
                m_knowsAllServices = false;
        }
        m_knowsAllServices = m_knowsAllServices && draft.hasServices;
        if (!facts.servers)
            return;
        for (const ServerEntry &server : *facts.servers)
            m_servers[server.service].push_back(&server);
    }

    std::vector<ConfigurationFinding> check()
    {
        for (std::size_t i = 0; i < m_draft.routes.size(); ++i)
            checkRoute(i);
        for (std::size_t i = 0; i < m_draft.services.size(); ++i)
            checkService(i);
        checkLimits();
        return std::move(m_findings);
    }

private:
    void error(ConfigurationPlace place, std::string text) { m_findings.push_back({false, place, std::move(text)}); }
    void warn(ConfigurationPlace place, std::string text) { m_findings.push_back({true, place, std::move(text)}); }

    void checkRoute(std::size_t index);
    void checkMatch(std::size_t index);
    void checkTimes(std::size_t index);
    void checkJobs(std::size_t index);
    void checkService(std::size_t index);
    void checkLimits();

    const ConfigurationDraft &m_draft;
    const Facts &m_facts;
    TextMap<std::size_t> m_services; // index of the first one by name
    bool m_knowsAllServices = true;
    bool m_knowsAllRoutes = true;
    TextMap<std::size_t> m_routeNames;
    TextMap<std::size_t> m_matches; // by matchKey()
    TextMap<std::vector<const ServerEntry *>> m_servers;
    absl::flat_hash_set<std::string> m_routedServices;
    std::vector<ConfigurationFinding> m_findings;
};

void Checker::checkRoute(std::size_t index)
{
    const RouteDraft &draft = m_draft.routes[index];
    const Route &route = draft.route;
    if (isReadable(draft.unreadable, {Field::Name})) {
        const auto [first, isNew] = m_routeNames.try_emplace(route.name, index);
        if (!isNew)
            error({Part::Route, index, Field::Name},
                  concat("name ", quoted(route.name), " is used by route ", first->second, " as well"));
    }
    checkMatch(index);
    if (!isReadable(draft.unreadable, {Field::Service})) {
        m_knowsAllRoutes = false;
    } else {
        m_routedServices.insert(route.service);
        if (m_knowsAllServices && !m_services.contains(route.service))
            error({Part::Route, index, Field::Service},
                  route.service.empty()
                          ? "names no service, so every job is refused"
                          : concat("service ", quoted(route.service), " does not exist, so every job is refused"));
    }
    checkTimes(index);
    checkJobs(index);
}

void Checker::checkMatch(std::size_t index)
{
    const RouteDraft &draft = m_draft.routes[index];
    const Route &route = draft.route;
    if (isReadable(draft.unreadable, {Field::Host}) && route.host.find(':') != std::string::npos)
        error({Part::Route, index, Field::Host}, "never matches: hosts are compared without their port");
    if (isReadable(draft.unreadable, {Field::Prefix}) && !route.prefix.starts_with('/'))
        error({Part::Route, index, Field::Prefix}, "never matches: the path of a request begins with '/'");
    if (!isReadable(draft.unreadable, {Field::Host, Field::Prefix}))
        return;
    const auto [first, isNew] = m_matches.try_emplace(matchKey(route), index);
    if (!isNew)
        error({Part::Route, index, Field::Prefix},
              concat("never matches: route ", first->second, " (", quoted(m_draft.routes[first->second].route.name),
                     ") has the same host and prefix"));
}

void Checker::checkTimes(std::size_t index)
{
    const RouteDraft &draft = m_draft.routes[index];
    const Route &route = draft.route;
    if (!isReadable(draft.unreadable, {Field::Timeout}))
        return;
    const std::int64_t timeoutMs = route.timeoutUs / usPerMs;
    const std::int64_t targetMs = route.targetUs / usPerMs;
    const bool hasTarget = isReadable(draft.unreadable, {Field::Target});
    std::optional<std::int64_t> shortestMs;
    for (const ExpectedJob &job : m_facts.jobs) {
        if (job.route.empty() || job.route == route.name)
            shortestMs = std::min(shortestMs.value_or(job.estimateMs), job.estimateMs);
    }
    if (shortestMs && *shortestMs > timeoutMs) {
        error({Part::Route, index, Field::Timeout},
              concat("timeout of ", timeoutMs, " ms is under the shortest estimate of a task, which is ", *shortestMs,
                     " ms"));
        return; // so are the sums that contain the estimate
    }
    if (hasTarget && targetMs > timeoutMs) {
        warn({Part::Route, index, Field::Target},
             concat("target of ", targetMs, " ms is over the timeout of ", timeoutMs, " ms"));
        return; // the following sums contain the target
    }
    const bool hasObjective = hasTarget && isReadable(draft.unreadable, {Field::Stretch});
    const std::int64_t estimateMs = shortestMs.value_or(0);
    const double objectiveMs = route.stretch * static_cast<double>(estimateMs) + static_cast<double>(targetMs);
    if (hasObjective && objectiveMs > static_cast<double>(timeoutMs))
        warn({Part::Route, index, Field::Stretch},
             concat("stretch of the shortest estimate (", estimateMs, " ms) plus target (", targetMs,
                    " ms) is over the timeout of ", timeoutMs, " ms: all jobs count as on time until their timeout"));
    if (hasTarget && isReadable(draft.unreadable, {Field::MaxAttempts}) && route.maxAttempts > 1
        && route.maxAttempts * targetMs > timeoutMs)
        warn({Part::Route, index, Field::MaxAttempts},
             concat(route.maxAttempts, " attempts of ", targetMs, " ms (target) outlast the timeout of ", timeoutMs,
                    " ms"));
}

void Checker::checkJobs(std::size_t index)
{
    const RouteDraft &draft = m_draft.routes[index];
    if (!m_facts.servers || !isReadable(draft.unreadable, {Field::Service}))
        return;
    const auto servers = m_servers.find(draft.route.service);
    if (servers == m_servers.end())
        return; // reported for the service
    for (const ExpectedJob &job : m_facts.jobs) {
        if (!job.route.empty() && job.route != draft.route.name)
            continue;
        std::int64_t atOnce = 0;
        for (const ServerEntry *server : servers->second)
            atOnce += countFitting(job.taskResources, server->capacity);
        const ConfigurationPlace place{Part::Route, index, Field::Service};
        if (atOnce == 0)
            error(place,
                  concat("no backend server of ", quoted(draft.route.service), " is large enough for a task with ",
                         job.taskResources.milliCores, " thousandths of a core and ", job.taskResources.memoryMb,
                         " MiB"));
        else if (atOnce < job.tasks)
            warn(place,
                 concat("a job of ", job.tasks, " tasks is wider than service ", quoted(draft.route.service),
                        ", whose backend servers run ", atOnce, " of them at once"));
    }
}

void Checker::checkService(std::size_t index)
{
    const ServiceDraft &draft = m_draft.services[index];
    if (isReadable(draft.unreadable, {Field::Name})) {
        const std::string &name = draft.service.name;
        const ConfigurationPlace place{Part::Service, index, Field::Name};
        const std::size_t first = m_services.at(name);
        if (first != index)
            error(place, concat("name ", quoted(name), " is used by service ", first, " as well"));
        else if (m_draft.hasRoutes && m_knowsAllRoutes && !m_routedServices.contains(name))
            warn(place, concat("service ", quoted(name), " has no route"));
        if (first == index && m_facts.servers && !m_servers.contains(name))
            warn(place, concat("service ", quoted(name), " has no backend server"));
    }
    if (!isReadable(draft.unreadable, {Field::ColdDuration, Field::ColdRate}))
        return;
    const bool hasDuration = draft.coldDurationS.value_or(0) > 0;
    const bool hasRate = draft.coldRatePerS.value_or(0) > 0;
    if (hasRate && !hasDuration)
        warn({Part::Service, index, Field::ColdRate},
             "has no effect, as servers are never cold (no duration is given)");
    if (hasDuration && !draft.coldRatePerS) // a rate of 0 means that there is no limit
        warn({Part::Service, index, Field::ColdDuration}, "has no effect, as no rate of starts is given");
}

void Checker::checkLimits()
{
    const LimitsDraft &limits = m_draft.limits;
    if (limits.maxHeaderBytes == 0)
        error({Part::Limits, 0, Field::MaxHeaderBytes}, "0 bytes: every request is rejected");
    if (limits.maxBodyBytes == 0)
        error({Part::Limits, 0, Field::MaxBodyBytes}, "0 bytes: every job is rejected");
    if (limits.maxBodyBytes && m_facts.entryMemoryMb) {
        const std::int64_t budget = *m_facts.entryMemoryMb * bodyBytesPerMb;
        if (*limits.maxBodyBytes > budget)
            warn({Part::Limits, 0, Field::MaxBodyBytes},
                 concat(*limits.maxBodyBytes, " bytes are more than the ", budget,
                        " bytes (3/8 of its memory) that the smallest entry VM buffers"));
    }
    if (limits.headerTimeoutMs && limits.idleTimeoutMs && *limits.headerTimeoutMs > *limits.idleTimeoutMs)
        warn({Part::Limits, 0, Field::HeaderTimeout},
             concat(*limits.headerTimeoutMs, " ms are never reached: idle connections are closed after ",
                    *limits.idleTimeoutMs, " ms"));
}

} // namespace

// ConfigurationDraft --------------------------------------------------------------------------------

Configuration toConfiguration(const ConfigurationDraft &draft)
{
    Configuration configuration;
    configuration.version = draft.version.value_or(0);
    for (const RouteDraft &route : draft.routes) {
        if (isReadable(route.unreadable, {Field::Name, Field::Host, Field::Prefix, Field::Service}))
            configuration.routes.push_back(route.route);
    }
    for (const ServiceDraft &service : draft.services) {
        if (isReadable(service.unreadable, {Field::Name}))
            configuration.services.push_back(service.service);
    }
    return configuration;
}

// Findings ------------------------------------------------------------------------------------------

std::vector<ConfigurationFinding> checkConfiguration(const ConfigurationDraft &draft, const Facts &facts)
{
    return Checker(draft, facts).check();
}

std::optional<ConfigurationFinding> checkVersion(const ConfigurationDraft &draft, std::int64_t inForce)
{
    if (!draft.version || *draft.version > inForce)
        return std::nullopt;
    return ConfigurationFinding{false,
                                {Part::Top, 0, Field::Version},
                                concat("version ", *draft.version, " is not above ", inForce,
                                       ", which is in force, so entry VMs ignore the configuration")};
}

// Effects -------------------------------------------------------------------------------------------

namespace {

// What happens to a request of the route when it arrives after the change.
RouteChange findEffect(const Route &route, const RouteTable &after)
{
    // The coordinator copies service and times into a job when it is submitted.
    const std::string running =
            concat("jobs in progress end on service ", quoted(route.service), " with their old values; ");
    constexpr std::string_view refused = "new jobs, queries and resubmissions are refused with ";
    const Route *target = after.find(route.host, route.prefix);
    if (target == nullptr)
        return {route.name, RouteEffect::Refused, concat(running, refused, "404, no route matches")};
    // The id of a job is what follows the prefix.
    if (target->prefix.size() < route.prefix.size())
        return {route.name, RouteEffect::Refused,
                concat(running, refused, "400, route ", quoted(target->name), " matches and expects the id after ",
                       quoted(target->prefix))};
    if (after.findService(target->service) == nullptr)
        return {route.name, RouteEffect::Refused,
                concat(running, "new jobs are refused with 503, service ", quoted(target->service), " does not exist")};
    const std::string renamed = target->name == route.name
            ? std::string()
            : concat(", under the route name ", quoted(target->name), " (run times are learned again)");
    if (*target == route)
        return {route.name, RouteEffect::Kept, "unchanged"};
    if (target->service != route.service)
        return {route.name, RouteEffect::Moved,
                concat(running, "new jobs go to service ", quoted(target->service), renamed)};
    return {route.name, RouteEffect::Kept,
            concat(running, "new jobs go to the same service with the new values", renamed)};
}

// Configurations without a version are not applied.
RouteTable makeTable(const Configuration &configuration)
{
    Configuration copy = configuration;
    copy.version = std::max<std::int64_t>(copy.version, 1);
    RouteTable table;
    table.apply(std::move(copy));
    return table;
}

} // namespace

std::vector<RouteChange> findEffects(const Configuration &before, const Configuration &after)
{
    const RouteTable table = makeTable(after);
    absl::flat_hash_set<std::string> known;
    std::vector<RouteChange> changes;
    for (const Route &route : before.routes) {
        // A later route with the same host and prefix gets no requests.
        if (known.insert(matchKey(route)).second)
            changes.push_back(findEffect(route, table));
    }
    for (const Route &route : after.routes) {
        if (known.insert(matchKey(route)).second)
            changes.push_back({route.name, RouteEffect::Added,
                               concat("new jobs go to service ", quoted(route.service),
                                      table.findService(route.service) == nullptr
                                              ? ", which does not exist, and are refused with 503"
                                              : "")});
    }
    return changes;
}

std::string_view toString(RouteEffect effect)
{
    switch (effect) {
    case RouteEffect::Added:
        return "added";
    case RouteEffect::Kept:
        return "kept";
    case RouteEffect::Moved:
        return "moved";
    case RouteEffect::Refused:
        break;
    }
    return "refused";
}

} // namespace clementinelift::command
