// Warnings about valid templates and organisation parameters that have no effect or contradict each other.
#pragma once

#include "config/entries.h"

#include <span>

namespace clementinelift::config {

// Considers only these entries: templates that organisations may use are looked up if any template is among them, and
// organisations that may use a template if any organisation is. Invalid entries are left out; splitEntries() has
// reported them. All findings are warnings with file and line, sorted.
core::Findings findContradictions(std::span<const PublishedEntry> entries);

} // namespace clementinelift::config
