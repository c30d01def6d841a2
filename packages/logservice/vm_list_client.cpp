#include "logservice/vm_list_client.h"

#include "net/bounded_json.h"

#include <absl/container/flat_hash_set.h>

#include <cmath>

namespace clementinelift::logservice {

namespace {

using net::DecodeError;
using net::Json;

constexpr net::ParseLimits listLimits{4, 1u << 18};
constexpr std::size_t maxTextBytes = 128;
constexpr int statusNotModified = 304;
constexpr double maxSlots = 4096;
constexpr double maxConnections = 65536;
constexpr double maxCores = 4096;
constexpr double maxMemoryMb = 1u << 26;

// Reads the fields of one VM and keeps the name of the first invalid field.
struct VmReader
{
    const Json &vm;
    std::string invalidField; // empty: all fields are valid

    std::string text(const char *field, bool mayBeEmpty = false)
    {
        const auto found = vm.find(field);
        const auto *value = found != vm.end() ? found->get_ptr<const std::string *>() : nullptr;
        if (value == nullptr && mayBeEmpty)
            return {};
        if (value == nullptr || value->size() > maxTextBytes || (value->empty() && !mayBeEmpty)) {
            fail(field);
            return {};
        }
        return *value;
    }
    template <typename T> void number(const char *field, T &target, double max)
    {
        const auto found = vm.find(field);
        if (found == vm.end())
            return;
        const double value = found->is_number() ? found->get<double>() : 0;
        if (std::isfinite(value) && value > 0 && value <= max && (value >= 1 || std::is_floating_point_v<T>))
            target = static_cast<T>(value);
        else
            fail(field);
    }
    bool leaving()
    {
        const std::string state = text("state");
        if (state != "live" && state != "leaving")
            fail("state");
        return state == "leaving";
    }
    void fail(const char *field)
    {
        if (invalidField.empty())
            invalidField = field;
    }
};

core::BackendInfo readBackend(VmReader &reader)
{
    core::BackendInfo backend;
    backend.name = reader.text("name");
    backend.address = reader.text("address");
    backend.zone = reader.text("zone");
    backend.rack = reader.text("rack", true);
    reader.number("slots", backend.slots, maxSlots);
    reader.number("connections", backend.connections, maxConnections);
    reader.number("cores", backend.cores, maxCores);
    reader.number("memory_mb", backend.memoryMb, maxMemoryMb);
    backend.leaving = reader.leaving();
    return backend;
}

core::NodeInfo readNode(VmReader &reader)
{
    core::NodeInfo node;
    node.name = reader.text("name");
    node.address = reader.text("address");
    node.zone = reader.text("zone");
    node.leaving = reader.leaving();
    return node;
}

} // namespace

net::Decoded<core::VmListRead> decodeVmList(std::string_view body)
{
    std::string problem;
    const Json map = net::parseBounded(body, Json::input_format_t::json, listLimits, problem);
    const auto list = map.is_object() ? map.find("vms") : map.end();
    if (!map.is_object() || list == map.end() || !list->is_array())
        return tl::unexpected(DecodeError{"", "not a JSON object with the list vms " + problem});
    core::VmListRead read;
    absl::flat_hash_set<std::string> names;
    for (std::size_t i = 0; i < list->size(); ++i) {
        const Json &vm = (*list)[i];
        const std::string place = "vms[" + std::to_string(i) + "]";
        if (!vm.is_object())
            return tl::unexpected(DecodeError{place, "must be an object"});
        VmReader reader{vm, {}};
        const std::string role = reader.text("role");
        if (role == "backend")
            read.backends.push_back(readBackend(reader));
        else if (role == "entry")
            read.nodes.push_back(readNode(reader));
        if (reader.invalidField.empty() && !names.insert(role + "/" + reader.text("name")).second)
            reader.fail("name");
        if (!reader.invalidField.empty())
            return tl::unexpected(DecodeError{place + "." + reader.invalidField, "missing, invalid or duplicate"});
    }
    return read;
}

VmListClient::VmListClient(const VmListSettings &settings, net::HttpClient &http, Read read, Failed failed)
    : m_settings(settings), m_http(http), m_read(std::move(read)), m_failed(std::move(failed))
{
    readAfter(0);
}

void VmListClient::readAfter(std::int64_t delayMs)
{
    net::HttpClientRequest request;
    request.url = m_settings.url + "/v1/vms";
    request.timeoutMs = m_settings.timeoutMs;
    request.delayMs = delayMs;
    request.repeatable = true;
    if (!m_tag.empty())
        request.headers.emplace_back("If-None-Match", m_tag);
    m_http.send(std::move(request), [this](net::HttpResult &&result) { onResult(result); });
}

void VmListClient::onResult(const net::HttpResult &result)
{
    const int status = result.outcome == net::HttpOutcome::Answered ? result.status : 0;
    if (status != statusNotModified || m_tag.empty()) {
        auto list = status == 200 ? decodeVmList(result.body)
                                  : tl::unexpected(DecodeError{"", "no list, status=" + std::to_string(status)});
        if (list) {
            m_tag = net::findField(result.headers, "ETag");
            m_read(*std::move(list));
        } else {
            m_failed(list.error().place + " " + list.error().detail);
        }
    }
    readAfter(m_settings.intervalMs);
}

} // namespace clementinelift::logservice
