// Fuzzes the settings of a process and the entries of the configuration.
// Guards against crashes and exceptions, against texts that are rejected without a finding, and against accepted
// parameters out of their range.
#include "config/entries.h"
#include "config/settings.h"

#include <cstdlib>

using namespace clementinelift;

namespace {

template <typename T> void requireFindings(const tl::expected<T, core::Findings> &result)
{
    if (!result && result.error().empty())
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(*-identifier-naming)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    requireFindings(config::parseSettings("fuzz.ini", text));
    requireFindings(config::splitEntries("fuzz.ini", text));
    const auto parsedTemplate = config::parseEntry("template/t", text);
    requireFindings(parsedTemplate);
    if (parsedTemplate && !std::holds_alternative<core::TemplateParameters>(*parsedTemplate))
        std::abort();
    const auto organisation = config::parseEntry("organisation/o", text);
    requireFindings(organisation);
    if (organisation) {
        const auto &parameters = std::get<core::OrganisationParameters>(*organisation);
        if (!(parameters.weight > 0) || !(parameters.responseWeight >= 0 && parameters.responseWeight <= 1))
            std::abort();
    }
    return 0;
}
