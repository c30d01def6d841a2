// Internal declarations shared by the sources of the commands.
//
// Contents
//   Output       prints either text or one JSON document
//   VM commands  commands that send requests to entry VMs
//   Platform     check and diff of a configuration of the platform
#pragma once

#include "ctl/commands.h"
#include "ctl/services.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace clementinelift::ctl::detail {

// Output --------------------------------------------------------------------------------------------

// In text mode print() writes immediately. In JSON mode print() does nothing and finish() writes the document.
class Output
{
public:
    Output(bool isJson, std::ostream &out, std::ostream &err) : m_isJson(isJson), m_out(out), m_err(err) {}

    template <typename... Parts> void print(const Parts &...parts)
    {
        if (!m_isJson)
            (m_out << ... << parts) << "\n";
    }

    // Writes a warning or an error to the error stream in both modes.
    template <typename... Parts> void warn(const Parts &...parts)
    {
        m_err << "clementinelift-ctl: ";
        (m_err << ... << parts) << "\n";
    }

    void finish(ExitCode code);

    nlohmann::json json = nlohmann::json::object(); // written by finish() in JSON mode only

private:
    bool m_isJson;
    std::ostream &m_out;
    std::ostream &m_err;
};

// Success, or the code for the worst finding.
ExitCode toExitCode(const core::Findings &findings);
nlohmann::json toJson(const core::Findings &findings);
void printFindings(Output &output, const core::Findings &findings);

// Accepts any bytes: Output::finish() replaces invalid UTF-8.
nlohmann::json toJsonText(std::string_view text);

// VM commands ---------------------------------------------------------------------------------------

ExitCode runStatus(EntryVms &vms, Output &output);
// Status of entry VMs on the platform, from their metrics; addresses are ip:port.
ExitCode runPlatformStatus(const std::vector<std::string> &addresses, Output &output);
ExitCode runDrain(EntryVms &vms, const std::vector<std::string> &names, Output &output);
ExitCode runKeys(EntryVms &vms, const std::string &organisation, std::uint32_t count, Output &output);
ExitCode runExplain(EntryVms &vms, const Options &options, Output &output);

// Waits at most timeoutMs until every live entry VM has applied all records below nextOffset. Then prints a warning for
// each one that has not.
ExitCode waitUntilInForce(EntryVms &vms, std::int64_t nextOffset, std::int64_t timeoutMs, Output &output);

// Platform ------------------------------------------------------------------------------------------

struct TextFile
{
    std::string name;
    std::string text;
};

// A file with a JSON object, by its name or first character. Other files have templates and parameters.
bool isPlatformFile(const TextFile &file);

// Adds the findings of all files. Another code than Success means that they could not be checked; it was reported.
ExitCode checkPlatformFiles(const Options &options, const std::vector<TextFile> &files, core::Findings &findings,
                            Output &output);

// Compares the file with the version in force.
ExitCode runPlatformDiff(const Options &options, const TextFile &file, Output &output);

} // namespace clementinelift::ctl::detail
