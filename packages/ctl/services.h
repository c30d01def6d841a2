// Synchronous access to the services that the tool needs.
//
// Contents
//   ConfigLog   the log stream "config", a LogAccess for LogReader and publish()
//   EntryVms    VM list and operator interface of the entry VMs
#pragma once

#include "config/settings.h"
#include "ctl/publisher.h"
#include "net/http_client.h"

namespace clementinelift::ctl {

constexpr std::int64_t requestTimeoutMs = 3000; // of one request to an entry VM or the VM list

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
    std::string zone;    // empty: not known
    bool leaving = false;
};

struct EntryVmList
{
    std::vector<EntryVm> vms; // ascending by name, without duplicates
    std::string listError;    // why the VM list cannot be read; vms then are those of the settings
};

// An answer of an entry VM. The error says why there is none.
using VmAnswer = tl::expected<net::HttpResult, std::string>;

class EntryVms
{
public:
    explicit EntryVms(const config::ProcessSettings &settings);

    // Entry VMs of the VM list and of [tool] entry_vms; without VM list also the own one and the seeds.
    EntryVmList list();

    VmAnswer request(const EntryVm &vm, std::string_view method, std::string_view path);

    // The answers in the order of vms; all requests are sent at once.
    std::vector<VmAnswer> requestAll(const std::vector<EntryVm> &vms, std::string_view path);

private:
    std::string callerAddress(const core::NodeInfo &node) const;

    const config::ProcessSettings &m_settings;
    net::HttpClient m_client;
};

} // namespace clementinelift::ctl
