// Shared by the sources of the commands; not for other users.
//
// Contents
//   Output       text for people or one JSON document
//   VM commands  commands that ask entry VMs
#pragma once

#include "ctl/commands.h"
#include "ctl/services.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace clementinelift::ctl::detail {

// Output --------------------------------------------------------------------------------------------

// Collects the JSON document and prints text at once; only one of the two reaches the streams.
class Output
{
public:
    Output(bool isJson, std::ostream &out, std::ostream &err) : m_isJson(isJson), m_out(out), m_err(err) {}

    template <typename... Parts> void print(const Parts &...parts)
    {
        if (!m_isJson)
            (m_out << ... << parts) << "\n";
    }

    // A message for people, in both modes.
    template <typename... Parts> void warn(const Parts &...parts)
    {
        m_err << "clementinelift-ctl: ";
        (m_err << ... << parts) << "\n";
    }

    void finish(ExitCode code);

    nlohmann::json json = nlohmann::json::object(); // without meaning unless JSON was asked for

private:
    bool m_isJson;
    std::ostream &m_out;
    std::ostream &m_err;
};

nlohmann::json toJson(const core::Findings &findings);
void printFindings(Output &output, const core::Findings &findings);

// Any bytes as a JSON string: bytes that are no UTF-8 are replaced.
nlohmann::json toJsonText(std::string_view text);

// VM commands ---------------------------------------------------------------------------------------

ExitCode runStatus(EntryVms &vms, Output &output);
ExitCode runDrain(EntryVms &vms, const std::vector<std::string> &names, Output &output);
ExitCode runKeys(EntryVms &vms, const std::string &organisation, std::uint32_t count, Output &output);
ExitCode runExplain(EntryVms &vms, const Options &options, Output &output);

// Waits until every live entry VM has applied all records below nextOffset, at most timeoutMs. Names the others.
ExitCode waitUntilInForce(EntryVms &vms, std::int64_t nextOffset, std::int64_t timeoutMs, Output &output);

} // namespace clementinelift::ctl::detail
