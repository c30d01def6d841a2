// Synchronous clients of the log service, the VM list and the entry VMs.
//
// Contents
//   ConfigLog   the log stream "config", a LogAccess for LogReader and publish()
//   EntryVms    VM list and operator interface of the entry VMs
#pragma once

#include "config/settings.h"
#include "ctl/publisher.h"
#include "net/http_client.h"

namespace clementinelift::ctl {

constexpr std::int64_t requestTimeoutMs = 3000; // for one request to an entry VM or the VM list

// ConfigLog -----------------------------------------------------------------------------------------

class ConfigLog
{
public:
    explicit ConfigLog(std::string logServiceUrl);

    core::AppendOutcome append(const core::ChangeRecord &change);
    tl::expected<LogPage, std::string> read(std::int64_t from);
    std::int64_t nowMs() const;
    void pause(std::int64_t ms) const;

private:
    std::string m_url;
    net::HttpClient m_client;
};

static_assert(LogAccess<ConfigLog>);

// EntryVms ------------------------------------------------------------------------------------------

struct EntryVm
{
    std::string name;
    std::string address; // ip:port of the caller interface
    std::string zone;    // empty: unknown
    bool leaving = false;
};

struct EntryVmList
{
    std::vector<EntryVm> vms; // ascending by name, without duplicates
    std::string listError;    // why the VM list cannot be read; vms then has only the entry VMs in the settings
};

// The HTTP answer of a service, or the reason why none was received.
using VmAnswer = tl::expected<net::HttpResult, std::string>;

class EntryVms
{
public:
    explicit EntryVms(const config::ProcessSettings &settings);

    // Returns the entry VMs in the VM list and in [tool] entry_vms. When the VM list cannot be read, the entry VM that
    // the settings belong to and its seeds are added.
    EntryVmList list();

    VmAnswer request(const EntryVm &vm, std::string_view method, std::string_view path);

    // Sends all requests concurrently. The answers are in the order of vms.
    std::vector<VmAnswer> requestAll(const std::vector<EntryVm> &vms, std::string_view path);

private:
    std::string callerAddress(const core::NodeInfo &node) const;

    const config::ProcessSettings &m_settings;
    net::HttpClient m_client;
};

// Requests the metrics of all addresses (ip:port) concurrently. The answers are in the order of addresses.
std::vector<VmAnswer> requestMetrics(const std::vector<std::string> &addresses);

} // namespace clementinelift::ctl
