#include "ctl/command_support.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <thread>

namespace clementinelift::ctl::detail {

namespace {

using nlohmann::json;

constexpr std::int64_t pollIntervalMs = 200;

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string encoded;
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos)
            encoded += c;
        else
            encoded += absl::StrFormat("%%%02X", static_cast<unsigned char>(c));
    }
    return encoded;
}

// Returns the JSON object of an answer with status 2xx; otherwise the error names the cause.
tl::expected<json, std::string> parseAnswer(const VmAnswer &answer)
{
    if (!answer)
        return tl::make_unexpected(answer.error());
    json body = json::parse(answer->body, nullptr, false);
    if (answer->status < 200 || answer->status > 299) {
        std::string text = absl::StrCat("status ", answer->status);
        for (const char *field : {"reason", "error", "detail"}) {
            if (body.is_object() && body.contains(field) && body[field].is_string())
                absl::StrAppend(&text, ", ", body[field].get<std::string>());
        }
        return tl::make_unexpected(text);
    }
    if (!body.is_object())
        return tl::make_unexpected(std::string("the answer is not a JSON object"));
    return body;
}

std::int64_t integerField(const json &object, const char *field, std::int64_t defaultValue)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : defaultValue;
}

// Returns a field as text: objects and arrays as their number of elements, a missing field as "-".
std::string fieldText(const json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end())
        return "-";
    if (found->is_string())
        return found->get<std::string>();
    if (found->is_boolean())
        return found->get<bool>() ? "yes" : "no";
    if (found->is_structured())
        return absl::StrCat(found->size());
    return found->dump();
}

void addListError(const EntryVmList &list, Output &output)
{
    if (list.listError.empty())
        return;
    output.json["list_error"] = list.listError;
    output.warn(list.listError, "; only the entry VMs in the settings are asked");
}

json toJson(const EntryVm &vm)
{
    return {{"name", vm.name}, {"address", vm.address}, {"zone", vm.zone}, {"leaving", vm.leaving}};
}

} // namespace

ExitCode runStatus(EntryVms &vms, Output &output)
{
    const EntryVmList list = vms.list();
    addListError(list, output);
    const std::vector<VmAnswer> answers = vms.requestAll(list.vms, "/status");
    output.json["entry_vms"] = json::array();
    output.print(absl::StrFormat("%-20s %-10s %-6s %-9s %12s %12s %8s  %s", "NAME", "ZONE", "READY", "DRAINING",
                                 "CONFIG", "OWNERSHIP", "JOBS", "VERSION"));
    ExitCode code = list.vms.empty() ? ExitCode::Unavailable : ExitCode::Success;
    for (std::size_t i = 0; i < list.vms.size(); ++i) {
        const EntryVm &vm = list.vms[i];
        json item = toJson(vm);
        if (const auto status = parseAnswer(answers[i])) {
            output.print(absl::StrFormat("%-20s %-10s %-6s %-9s %12s %12s %8s  %s", vm.name, fieldText(*status, "zone"),
                                         fieldText(*status, "ready"), fieldText(*status, "draining"),
                                         fieldText(*status, "config_next"), fieldText(*status, "ownership_next"),
                                         fieldText(*status, "jobs"), fieldText(*status, "version")));
            if (const std::string reason = fieldText(*status, "waiting_for"); reason != "-" && !reason.empty())
                output.print("  waiting for ", reason);
            item["status"] = *status;
        } else {
            output.print(absl::StrFormat("%-20s %-10s %s: %s", vm.name, vm.zone.empty() ? "-" : vm.zone, vm.address,
                                         status.error()));
            item["error"] = status.error();
            code = ExitCode::EntryVmFailure;
        }
        output.json["entry_vms"].push_back(std::move(item));
    }
    return code;
}

ExitCode runDrain(EntryVms &vms, const std::vector<std::string> &names, Output &output)
{
    const EntryVmList list = vms.list();
    addListError(list, output);
    ExitCode code = ExitCode::Success;
    output.json["entry_vms"] = json::array();
    for (const std::string &name : names) {
        json item{{"name", name}};
        const auto vm = std::find_if(list.vms.begin(), list.vms.end(),
                                     [&](const EntryVm &known) { return known.name == name; });
        std::string error = "no entry VM with this name is known";
        if (vm != list.vms.end()) {
            const VmAnswer answer = vms.request(*vm, "POST", "/v1/admin/drain");
            constexpr int acceptedStatus = 202;
            error = !answer                            ? answer.error()
                    : answer->status == acceptedStatus ? ""
                                                       : absl::StrCat("status ", answer->status);
        }
        item["draining"] = error.empty();
        if (error.empty()) {
            output.print(name, ": draining");
        } else {
            item["error"] = error;
            output.warn(name, ": ", error);
            code = ExitCode::EntryVmFailure;
        }
        output.json["entry_vms"].push_back(std::move(item));
    }
    return code;
}

ExitCode runKeys(EntryVms &vms, const std::string &organisation, std::uint32_t count, Output &output)
{
    const EntryVmList list = vms.list();
    addListError(list, output);
    const std::string path = absl::StrCat("/v1/keys?organisation=", percentEncode(organisation), "&count=", count);
    std::string lastError = "no entry VM is known";
    for (const EntryVm &vm : list.vms) {
        if (vm.leaving)
            continue;
        const auto answer = parseAnswer(vms.request(vm, "POST", path));
        if (!answer || !answer->contains("keys") || !(*answer)["keys"].is_array()) {
            lastError = vm.name + ": " + (answer ? "the answer has no keys" : answer.error());
            continue;
        }
        output.json["keys"] = (*answer)["keys"];
        output.json["entry_vm"] = vm.name;
        for (const json &key : (*answer)["keys"])
            output.print(key.is_string() ? key.get<std::string>() : key.dump());
        return ExitCode::Success;
    }
    output.json["error"] = lastError;
    output.warn("no entry VM returned keys: ", lastError);
    return ExitCode::EntryVmFailure;
}

ExitCode runExplain(EntryVms &vms, const Options &options, Output &output)
{
    const EntryVmList list = vms.list();
    addListError(list, output);
    std::string path =
            absl::StrCat("/v1/jobs/", percentEncode(options.organisation), "/", percentEncode(options.key), "/trace");
    if (!options.issuedAt.empty())
        absl::StrAppend(&path, "?issued_at=", percentEncode(options.issuedAt));
    const std::vector<VmAnswer> answers = vms.requestAll(list.vms, path);

    std::multimap<std::int64_t, json> lines; // trace entries of all entry VMs, ascending by time
    std::size_t answered = 0;
    for (std::size_t i = 0; i < list.vms.size(); ++i) {
        const auto answer = parseAnswer(answers[i]);
        constexpr int notFoundStatus = 404;
        answered += answer || (answers[i] && answers[i]->status == notFoundStatus) ? 1 : 0;
        if (!answer) {
            if (!answers[i] || answers[i]->status != notFoundStatus)
                output.warn(list.vms[i].name, ": ", answer.error());
            continue;
        }
        const auto trace = answer->find("trace");
        for (const json &entry : trace != answer->end() && trace->is_array() ? *trace : json::array()) {
            if (entry.is_object())
                lines.emplace(integerField(entry, "at_ms", 0),
                              json{{"at_ms", integerField(entry, "at_ms", 0)},
                                   {"entry_vm", list.vms[i].name},
                                   {"text", fieldText(entry, "text")}});
        }
    }
    output.json["trace"] = json::array();
    for (const auto &[atMs, line] : lines) {
        output.json["trace"].push_back(line);
        output.print(atMs, "  ", line["entry_vm"].get<std::string>(), "  ", line["text"].get<std::string>());
    }
    if (lines.empty())
        output.warn("no entry VM returned a trace for this key; ", answered, " of ", list.vms.size(),
                    " entry VMs answered");
    return lines.empty() || answered < list.vms.size() ? ExitCode::EntryVmFailure : ExitCode::Success;
}

ExitCode waitUntilInForce(EntryVms &vms, std::int64_t nextOffset, std::int64_t timeoutMs, Output &output)
{
    using Clock = std::chrono::steady_clock;
    const auto deadline = Clock::now() + std::chrono::milliseconds(timeoutMs);
    std::vector<std::string> inForce;
    json waiting;
    EntryVmList list;
    for (;;) {
        list = vms.list();
        std::erase_if(list.vms, [](const EntryVm &vm) { return vm.leaving; });
        const std::vector<VmAnswer> answers = vms.requestAll(list.vms, "/status");
        inForce.clear();
        waiting = json::array();
        for (std::size_t i = 0; i < list.vms.size(); ++i) {
            const auto status = parseAnswer(answers[i]);
            const std::int64_t applied = status ? integerField(*status, "config_next", -1) : -1;
            if (applied >= nextOffset) {
                inForce.push_back(list.vms[i].name);
                continue;
            }
            json item = toJson(list.vms[i]);
            item["detail"] = status ? absl::StrCat("has applied the records below ", applied) : status.error();
            waiting.push_back(std::move(item));
        }
        const bool isInForceEverywhere = waiting.empty() && list.listError.empty() && !list.vms.empty();
        if (isInForceEverywhere || Clock::now() >= deadline)
            break;
        std::this_thread::sleep_for(std::chrono::milliseconds(pollIntervalMs));
    }
    addListError(list, output);
    output.json["in_force"] = inForce;
    output.json["waiting"] = waiting;
    for (const json &item : waiting)
        output.warn("not yet in force on ", item["name"].get<std::string>(), " (", item["address"].get<std::string>(),
                    "): ", item["detail"].get<std::string>());
    if (list.vms.empty())
        output.warn("no live entry VM is known");
    output.print("in force on ", inForce.size(), " of ", list.vms.size(), " live entry VMs");
    return waiting.empty() && list.listError.empty() && !list.vms.empty() ? ExitCode::Success
                                                                          : ExitCode::NotInForceEverywhere;
}

} // namespace clementinelift::ctl::detail
