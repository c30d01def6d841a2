// INI text with the position of every section and field, and checked access to the fields of one section.
//
// Contents
//   IniFile         what the text contains, and what is wrong with its form
//   SectionReader   typed fields with limits; unknown, duplicate and bad fields become findings
//
// The grammar is that of inih: "[section]", "name = value" or "name: value", comments from ';' or '#' at the start of a
// line, or from " ;" inside one. There are no multi-line values: leading blanks are ignored.
#pragma once

#include "core/parameters.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::config {

constexpr std::size_t maxLineBytes = 8000;      // without the line end
constexpr std::size_t maxIniNameBytes = 49;     // of sections and fields; inih cuts longer section names
constexpr std::size_t maxTextBytes = 1u << 20u; // of a whole file
constexpr std::size_t maxFindings = 1000;       // further ones are left out of a report

// IniFile -------------------------------------------------------------------------------------------

struct IniField
{
    std::string name;
    std::string value; // without surrounding blanks and comment
    int line = 0;      // 1-based
};

struct IniSection
{
    std::string name; // empty: fields before the first section header
    int line = 0;     // of the header, 0: no header
    std::vector<IniField> fields;
};

struct IniFile
{
    std::string name;                 // file or entry, for findings
    std::vector<IniSection> sections; // in the order of the text; the first one has no header
    core::Findings findings;          // lines that are no INI, too long or not text
};

// Never fails: what can be read is in sections, everything else in findings.
IniFile readIni(std::string_view name, std::string_view text);

// The content of the file, or one finding that says why it cannot be read.
tl::expected<std::string, core::Findings> readTextFile(const std::string &path);

// "file:line: field: message", without the parts that are empty.
std::string toString(const core::Finding &finding);

// The line with surrounding blanks removed.
std::string_view trim(std::string_view text);

// The parts between the separators, trimmed; empty parts are kept, an empty text has none.
std::vector<std::string_view> splitList(std::string_view text, char separator);

// SectionReader -------------------------------------------------------------------------------------

template <typename T>
concept Number = (std::integral<T> || std::floating_point<T>)&&!std::same_as<T, bool>;

// Reads the fields of all sections with one name. Call finish() last: it reports what was not read.
class SectionReader
{
public:
    // findings must outlive the reader.
    SectionReader(const IniFile &file, std::string_view section, core::Findings &findings);

    // Each reader of a field leaves target alone and adds a finding when the value is not allowed.
    // They return whether the field is there and allowed.
    template <Number T> bool readNumber(std::string_view field, T &target, T min, T max);
    bool readText(std::string_view field, std::string &target, std::size_t maxBytes);

    // values[i] is the text of the enumerator i.
    template <typename Enum>
    bool readChoice(std::string_view field, Enum &target, std::span<const std::string_view> values);

    // Like the readers above, for values that the caller checks itself. Null: not there.
    const IniField *read(std::string_view field);

    // Adds a finding unless the field occurs; it must have been read before.
    void require(std::string_view field, std::string_view allowed);

    void addFinding(const IniField &field, std::string message);
    int line() const; // of the section header, 0: the section is not there

    // Unknown and duplicate fields, and further sections of the same name.
    void finish();

private:
    std::string fieldName(std::string_view field) const;
    void addNumberFinding(const IniField &field, std::string_view kind, std::string_view min, std::string_view max);
    int findChoice(const IniField &field, std::span<const std::string_view> values);

    const IniFile &m_file;
    std::string m_section;
    core::Findings &m_findings;
    std::vector<const IniSection *> m_sections;
    std::vector<std::string> m_known; // fields that were asked for
};

namespace detail {

// The whole text as a number, without sign prefix '+', blanks, NaN and infinity.
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
    const IniField *found = read(field);
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
    const IniField *found = read(field);
    const int index = found ? findChoice(*found, values) : -1;
    if (index < 0)
        return false;
    target = static_cast<Enum>(index);
    return true;
}

// Adds a finding for every section whose name is not among the known ones. Fields without section count as one.
void checkSections(const IniFile &file, std::span<const std::string_view> known, core::Findings &findings);

// Ascending by line, as a reader of the text expects them; at most maxFindings.
void sortFindings(core::Findings &findings);

} // namespace clementinelift::config
