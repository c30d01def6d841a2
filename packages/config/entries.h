// Parses the parameters of templates and organisations from INI text.
//
// Contents
//   parseEntry     parses one configuration entry; used as core::CoreSettings::parseEntry
//   splitEntries   splits a file with several entries for publishing
#pragma once

#include "core/configuration.h"

namespace clementinelift::config {

// parseEntry ----------------------------------------------------------------------------------------

constexpr std::size_t maxEntryBytes = std::size_t{64} << 10; // of the text of one entry

// Parses fields without section header. name is "template/NAME" or "organisation/NAME"; missing fields keep their
// default. Pure function, usable as core::ParseEntry. Findings contain the entry name as file and the line in the text.
tl::expected<core::ParsedEntry, core::Findings> parseEntry(std::string_view name, std::string_view text);

// splitEntries --------------------------------------------------------------------------------------

struct PublishedEntry
{
    std::string name; // "template/NAME" or "organisation/NAME"
    std::string text; // body of the section, never empty
    std::string file;
    int line = 0; // of the section header
};

// Splits a file with sections [template NAME] and [organisation NAME] and parses every entry, so that all findings are
// reported at once. Findings contain the file and the line in the file.
tl::expected<std::vector<PublishedEntry>, core::Findings> splitEntries(std::string_view fileName,
                                                                       std::string_view text);

} // namespace clementinelift::config
