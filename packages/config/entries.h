// Templates and organisation parameters as INI text.
//
// Contents
//   parseEntry     one configuration entry, the parser of core::CoreSettings
//   splitEntries   a file for publishing with several entries
#pragma once

#include "core/configuration.h"

namespace clementinelift::config {

// parseEntry ----------------------------------------------------------------------------------------

constexpr std::size_t maxEntryBytes = std::size_t{64} << 10; // of the text of one entry

// Fields without section header. name is "template/NAME" or "organisation/NAME"; missing fields keep their default.
// Pure function, usable as core::ParseEntry. Findings carry the entry name as file and the line in the text.
tl::expected<core::ParsedEntry, core::Findings> parseEntry(std::string_view name, std::string_view text);

// splitEntries --------------------------------------------------------------------------------------

struct PublishedEntry
{
    std::string name; // "template/NAME" or "organisation/NAME"
    std::string text; // body of the section, never empty
    std::string file;
    int line = 0; // of the section header
};

// Splits a file with sections [template NAME] and [organisation NAME] and checks every entry completely.
// Findings carry the file and the line in the file.
tl::expected<std::vector<PublishedEntry>, core::Findings> splitEntries(std::string_view fileName,
                                                                       std::string_view text);

} // namespace clementinelift::config
