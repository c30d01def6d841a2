// Parses INI text, keeps the line of every section and field, and checks the fields of a section.
//
// Contents
//   IniFile         sections and fields of the text, and findings about invalid lines
//   SectionReader   typed fields with limits; unknown, duplicate and invalid fields become findings
//
// The grammar is that of inih: "[section]", "name = value" or "name: value", comments from ';' or '#' at the start of a
// line, or from " ;" within a line. There are no multi-line values: leading whitespace is ignored.
#pragma once

#include "core/parameters.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::config {

constexpr std::size_t maxLineBytes = 8000;      // without the line break
constexpr std::size_t maxIniNameBytes = 49;     // of sections and fields; inih cuts longer section names
constexpr std::size_t maxTextBytes = 1u << 20u; // of a whole file
constexpr std::size_t maxFindings = 1000;       // per report; further findings are dropped

// IniFile -------------------------------------------------------------------------------------------

struct IniField
{
    std::string name;
    std::string value; // without surrounding whitespace and comment
    int line = 0;      // 1-based
};

struct IniSection
{
    std::string name; // empty for the fields before the first section header
    int line = 0;     // of the header; 0 if there is none
    std::vector<IniField> fields;
};

struct IniFile
{
    std::string name;                 // name of the file or entry, used in findings
    std::vector<IniSection> sections; // in the order of the text; the first section has no header
    core::Findings findings;          // invalid lines: wrong syntax, too long or with control characters
};

// Never fails: valid lines are returned in sections, invalid lines are reported in findings.
IniFile readIni(std::string_view name, std::string_view text);

// Returns the content of the file, or one finding with the reason why the file cannot be read.
// Reads one byte more than maxBytes at most, so that readers notice a file that is too long.
tl::expected<std::string, core::Findings> readTextFile(const std::string &path, std::size_t maxBytes = maxTextBytes);

// Formats a finding as "file:line: field: message"; empty parts are left out. Warnings have "warning: " after the
// place.
std::string toString(const core::Finding &finding);

// Returns the text without leading and trailing whitespace.
std::string_view trim(std::string_view text);

// Splits the text at the separators and trims the parts. Empty parts are kept; a text of whitespace has no parts.
std::vector<std::string_view> splitList(std::string_view text, char separator);

// SectionReader -------------------------------------------------------------------------------------

template <typename T>
concept Number = (std::integral<T> || std::floating_point<T>)&&!std::same_as<T, bool>;

// Reads the fields of all sections with the same name. Call finish() last: it reports unknown and duplicate fields.
class SectionReader
{
public:
    // findings must outlive the reader.
    SectionReader(const IniFile &file, std::string_view section, core::Findings &findings);

    // The read functions return whether the field exists and has a valid value. Otherwise target stays unchanged; an
    // invalid value adds a finding.
    template <Number T> bool readNumber(std::string_view field, T &target, T min, T max);
    bool readText(std::string_view field, std::string &target, std::size_t maxBytes);

    // values[i] is the text of the enumerator with the value i.
    template <typename Enum>
    bool readChoice(std::string_view field, Enum &target, std::span<const std::string_view> values);

    // Returns the field for values that the caller checks, or null if the field is missing. finish() accepts the field.
    const IniField *findField(std::string_view field);

    // Adds a finding if the field is missing. allowed completes the message "field is missing; it must be ...".
    void require(std::string_view field, std::string_view allowed);

    void addFinding(const IniField &field, std::string message);
    int line() const; // of the section header; 0 if the section is missing

    // Adds findings for unknown fields, duplicate fields and further sections with the same name.
    void finish();

private:
    std::string fieldName(std::string_view field) const;
    void addNumberFinding(const IniField &field, std::string_view kind, std::string_view min, std::string_view max);
    int findChoice(const IniField &field, std::span<const std::string_view> values);

    const IniFile &m_file;
    std::string m_section;
    core::Findings &m_findings;
    std::vector<const IniSection *> m_sections;
    std::vector<std::string> m_readFields; // names of the fields that the caller has read; other fields are unknown
};

namespace detail {

// Parses the whole text as a number. A leading '+', whitespace, NaN and infinity are rejected.
template <Number T> bool parseNumber(std::string_view text, T &value);
template <Number T> std::string formatNumber(T value);

extern template bool parseNumber(std::string_view text, std::uint32_t &value);
extern template bool parseNumber(std::string_view text, std::uint64_t &value);
extern template bool parseNumber(std::string_view text, std::int64_t &value);
extern template bool parseNumber(std::string_view text, float &value);
extern template bool parseNumber(std::string_view text, double &value);
extern template std::string formatNumber(std::uint32_t value);
extern template std::string formatNumber(std::uint64_t value);
extern template std::string formatNumber(std::int64_t value);
extern template std::string formatNumber(float value);
extern template std::string formatNumber(double value);

} // namespace detail

template <Number T> bool SectionReader::readNumber(std::string_view field, T &target, T min, T max)
{
    const IniField *found = findField(field);
    if (!found)
        return false;
    T value{};
    if (!detail::parseNumber(found->value, value) || value < min || value > max) {
        addNumberFinding(*found, std::integral<T> ? "a whole number" : "a number", detail::formatNumber(min),
                         detail::formatNumber(max));
        return false;
    }
    target = value;
    return true;
}

template <typename Enum>
bool SectionReader::readChoice(std::string_view field, Enum &target, std::span<const std::string_view> values)
{
    const IniField *found = findField(field);
    const int index = found ? findChoice(*found, values) : -1;
    if (index < 0)
        return false;
    target = static_cast<Enum>(index);
    return true;
}

// Adds a finding for every section with an unknown name and for every field before the first section header.
void checkSections(const IniFile &file, std::span<const std::string_view> known, core::Findings &findings);

// Sorts by file and line, and drops findings beyond maxFindings.
void sortFindings(core::Findings &findings);

} // namespace clementinelift::config
