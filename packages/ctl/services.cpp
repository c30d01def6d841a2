#include "ctl/services.h"

#include "logservice/log_client.h"
#include "logservice/vm_list_client.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <future>
#include <map>
#include <thread>

namespace clementinelift::ctl {

namespace {

constexpr int successStatus = 200;
constexpr std::size_t maxPageBytes = std::size_t{64} << 20;

std::future<net::HttpResult> send(net::HttpClient &client, net::HttpClientRequest &&request)
{
    auto promise = std::make_shared<std::promise<net::HttpResult>>();
    std::future<net::HttpResult> future = promise->get_future();
    client.send(std::move(request), [promise](net::HttpResult &&result) { promise->set_value(std::move(result)); });
    return future;
}

VmAnswer toAnswer(net::HttpResult &&result)
{
    if (result.outcome != net::HttpOutcome::Answered)
        return tl::make_unexpected(std::move(result.error));
    return std::move(result);
}

std::vector<VmAnswer> sendAll(net::HttpClient &client, const std::vector<std::string> &urls)
{
    std::vector<std::future<net::HttpResult>> pending;
    pending.reserve(urls.size());
    for (const std::string &url : urls)
        pending.push_back(send(client, {.url = url, .timeoutMs = requestTimeoutMs, .repeatable = true}));
    std::vector<VmAnswer> answers;
    answers.reserve(urls.size());
    for (auto &future : pending)
        answers.push_back(toAnswer(future.get()));
    return answers;
}

} // namespace

// ConfigLog -----------------------------------------------------------------------------------------

ConfigLog::ConfigLog(std::string logServiceUrl)
    : m_url(std::move(logServiceUrl)), m_client({.maxAnswerBytes = maxPageBytes})
{}

core::AppendOutcome ConfigLog::append(const core::ChangeRecord &change)
{
    auto request = logservice::makeAppendRequest(m_url, core::Stream::Config, change);
    return logservice::decodeAppend(core::AppendId{}, send(m_client, std::move(request)).get()).outcome;
}

tl::expected<LogPage, std::string> ConfigLog::read(std::int64_t from)
{
    constexpr std::int64_t noWaitMs = 0;
    auto request = logservice::makeReadRequest(m_url, core::Stream::Config, from, noWaitMs);
    const VmAnswer answer = toAnswer(send(m_client, std::move(request)).get());
    if (!answer)
        return tl::make_unexpected("the log service cannot be reached: " + answer.error());
    if (answer->status != successStatus)
        return tl::make_unexpected(absl::StrCat("the log service answered with status ", answer->status));
    auto page = logservice::decodeLogPage(core::Stream::Config, from, answer->body);
    if (!page)
        return tl::make_unexpected(absl::StrCat("the log service answered with a malformed page: ", page.error().place,
                                                " ", page.error().detail));
    return LogPage{page->firstAvailable, page->end, std::move(page->records)};
}

std::int64_t ConfigLog::nowMs() const
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void ConfigLog::pause(std::int64_t ms) const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// EntryVms ------------------------------------------------------------------------------------------

EntryVms::EntryVms(const config::ProcessSettings &settings) : m_settings(settings), m_client({}) {}

std::string EntryVms::callerAddress(const core::NodeInfo &node) const
{
    for (const core::NodeInfo &known : m_settings.entryVms) {
        if (known.name == node.name)
            return known.address;
    }
    if (node.name == m_settings.core.self.name)
        return m_settings.callerAddress;
    // The VM list has the address of the peer link; all entry VMs use the same port for callers.
    return node.address.substr(0, node.address.rfind(':'))
            + m_settings.callerAddress.substr(m_settings.callerAddress.rfind(':'));
}

EntryVmList EntryVms::list()
{
    EntryVmList list;
    std::map<std::string, EntryVm> byName;
    const auto add = [&](const core::NodeInfo &node, const std::string &address) {
        byName.try_emplace(node.name, EntryVm{node.name, address, node.zone, node.leaving});
    };

    VmAnswer answer = toAnswer(
            send(m_client, {.url = m_settings.vmListUrl + "/v1/vms", .timeoutMs = requestTimeoutMs, .repeatable = true})
                    .get());
    if (!answer) {
        list.listError = "the VM list cannot be reached: " + answer.error();
    } else if (answer->status != successStatus) {
        list.listError = absl::StrCat("the VM list answered with status ", answer->status);
    } else if (const auto vms = logservice::decodeVmList(answer->body)) {
        for (const core::NodeInfo &node : vms->nodes)
            add(node, callerAddress(node));
    } else {
        list.listError = absl::StrCat("the VM list is malformed: ", vms.error().place, " ", vms.error().detail);
    }
    for (const core::NodeInfo &node : m_settings.entryVms)
        add(node, node.address);
    if (!list.listError.empty()) {
        add(m_settings.core.self, m_settings.callerAddress);
        for (const core::NodeInfo &seed : m_settings.core.seeds)
            add(seed, callerAddress(seed));
    }
    for (auto &[name, vm] : byName)
        list.vms.push_back(std::move(vm));
    return list;
}

VmAnswer EntryVms::request(const EntryVm &vm, std::string_view method, std::string_view path)
{
    const std::string url = "http://" + vm.address + std::string(path);
    return toAnswer(send(m_client,
                         {.method = std::string(method),
                          .url = url,
                          .timeoutMs = requestTimeoutMs,
                          .repeatable = method == "GET"})
                            .get());
}

std::vector<VmAnswer> EntryVms::requestAll(const std::vector<EntryVm> &vms, std::string_view path)
{
    std::vector<std::string> urls;
    urls.reserve(vms.size());
    for (const EntryVm &vm : vms)
        urls.push_back("http://" + vm.address + std::string(path));
    return sendAll(m_client, urls);
}

std::vector<VmAnswer> requestMetrics(const std::vector<std::string> &addresses)
{
    net::HttpClient client({});
    std::vector<std::string> urls;
    urls.reserve(addresses.size());
    for (const std::string &address : addresses)
        urls.push_back("http://" + address + "/metrics");
    return sendAll(client, urls);
}

} // namespace clementinelift::ctl
