#include "dispatcher/status.h"

#include "net/bounded_json.h"

#include <map>

namespace clementinelift::dispatcher {

namespace {

using net::Json;

std::string_view nameOf(core::BreakerState state)
{
    switch (state) {
    case core::BreakerState::Closed:
        return "closed";
    case core::BreakerState::Open:
        return "open";
    default:
        return "probing";
    }
}

// Returns the reason why a backend server gets no or fewer tasks, or an empty text if it has no restriction.
std::string_view explainReducedLoad(const core::BackendStatus &backend)
{
    if (backend.leaving)
        return "leaving: gets no new task";
    if (backend.groupBreaker == core::BreakerState::Open)
        return "its group fails: no task until the next probe";
    if (backend.groupBreaker == core::BreakerState::HalfOpen)
        return "its group failed: one probe and one task decide";
    if (backend.breaker == core::BreakerState::Open)
        return "failed or out of reach: no task until the next probe";
    if (backend.breaker == core::BreakerState::HalfOpen)
        return "failed or out of reach: one probe and one task decide";
    if (backend.held == 0)
        return "its slots are held by other entry VMs";
    return "";
}

Json writeBackends(const std::vector<core::BackendStatus> &backends)
{
    Json list = Json::array();
    for (const core::BackendStatus &backend : backends) {
        if (backend.gone)
            continue;
        list.push_back(Json{{"name", backend.name},
                            {"held", backend.held},
                            {"used", backend.used},
                            {"lent", backend.lent},
                            {"attempts", backend.attempts},
                            {"factor", backend.factor},
                            {"group", backend.group},
                            {"breaker", nameOf(backend.breaker)},
                            {"leaving", backend.leaving},
                            {"held_back", explainReducedLoad(backend)}});
    }
    return list;
}

Json writeGroups(const std::vector<core::BackendStatus> &backends)
{
    std::map<std::uint32_t, Json> groups;
    for (const core::BackendStatus &backend : backends) {
        if (backend.gone)
            continue;
        Json &group = groups[backend.group];
        group["group"] = backend.group;
        group["breaker"] = nameOf(backend.groupBreaker);
        group["backends"].push_back(backend.name);
    }
    Json list = Json::array();
    for (auto &[id, group] : groups)
        list.push_back(std::move(group));
    return list;
}

Json writePeers(const core::Membership &membership, const std::string &self)
{
    Json list = Json::array();
    for (const core::NodeInfo &node : membership.live()) {
        if (node.name == self)
            continue;
        list.push_back(Json{{"name", node.name},
                            {"address", node.address},
                            {"zone", node.zone},
                            {"connected", membership.isConnected(node.name)}});
    }
    return list;
}

Json writeOutcome(const core::ChangeOutcome &outcome)
{
    Json change{{"change_id", outcome.changeId},
                {"author", outcome.author},
                {"offset", outcome.offset},
                {"verdict", toString(outcome.verdict)}};
    if (outcome.verdict == core::ChangeVerdict::Conflict) {
        change["conflict"] = {{"entry", outcome.conflictEntry},
                              {"author", outcome.conflictAuthor},
                              {"version", outcome.conflictVersion}};
    }
    for (const core::Finding &finding : outcome.findings) {
        change["findings"].push_back(Json{{"entry", finding.file},
                                          {"line", finding.line},
                                          {"field", finding.field},
                                          {"message", finding.message}});
    }
    return change;
}

} // namespace

net::HttpAnswer makeReadyAnswer(const core::Dispatcher &core)
{
    if (core.isReady())
        return {200, R"({"ready":true})"};
    return {503, net::writeJson(Json{{"ready", false}, {"waiting_for", core.waitingFor()}})};
}

net::HttpAnswer makeStatusAnswer(const core::Dispatcher &core, const ProcessInfo &process)
{
    const std::vector<core::BackendStatus> backends = core.scheduler().status();
    const Json status{{"version", process.version},
                      {"node", process.self.name},
                      {"zone", process.self.zone},
                      {"incarnation", raw(process.self.incarnation)},
                      {"ready", core.isReady()},
                      {"draining", core.isDraining()},
                      {"waiting_for", core.waitingFor()},
                      {"config_next", core.configuration().nextOffset()},
                      {"ownership_next", process.ownershipNext},
                      {"owned_partitions", core.ownedPartitions(process.wallMs)},
                      {"clock_error_ms", core.membership().medianClockErrorMs()},
                      {"backends", writeBackends(backends)},
                      {"groups", writeGroups(backends)},
                      {"peers", writePeers(core.membership(), process.self.name)},
                      {"jobs", core.openJobs()},
                      {"queued_tasks", core.scheduler().queuedTasks()},
                      {"keys", core.rememberedKeys()},
                      {"answer_bytes", core.answerBytes()}};
    return {200, net::writeJson(status)};
}

net::HttpAnswer makeConfigAnswer(const core::Configuration &configuration)
{
    Json entries = Json::array();
    for (const core::ConfigEntry *entry : configuration.entries()) {
        entries.push_back(Json{{"name", entry->name},
                               {"version", entry->version},
                               {"author", entry->author},
                               {"change_id", entry->changeId},
                               {"text", entry->text}});
    }
    Json history = Json::array();
    for (const core::ChangeOutcome &outcome : configuration.history())
        history.push_back(writeOutcome(outcome));
    const Json config{{"next_offset", configuration.nextOffset()},
                      {"entries", std::move(entries)},
                      {"history", std::move(history)}};
    return {200, net::writeJson(config)};
}

} // namespace clementinelift::dispatcher
