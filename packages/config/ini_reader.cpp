#include "config/ini_reader.h"

#include <absl/strings/str_cat.h>
#include <ini.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <tuple>

namespace clementinelift::config {

namespace {

constexpr std::string_view whitespace = " \t\r\f\v";
constexpr std::string_view commentPrefixes = ";#";

absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

// By default inih cuts lines after 200 bytes. Its limits can be changed only through these global variables; they are
// set once before the first use and never change.
bool configureInih()
{
    ini_use_stack = false;
    ini_max_line = static_cast<int>(maxLineBytes) + 8;
    ini_initial_alloc = ini_max_line;
    ini_allow_realloc = false;
    ini_allow_multiline = false;
    ini_allow_inline_comments = true;
    ini_stop_on_first_error = false;
    ini_allow_no_value = false;
    return true;
}

bool isTextByte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte >= 0x20 ? byte != 0x7f : whitespace.find(c) != std::string_view::npos;
}

// Passes the text to inih line by line, so that the line number of each field is known. Lines that inih would misread
// are replaced by empty lines.
class LineSource
{
public:
    LineSource(IniFile &file, std::string_view text) : m_file(file), m_remainingText(text)
    {
        constexpr std::string_view byteOrderMark = "\xef\xbb\xbf";
        if (m_remainingText.starts_with(byteOrderMark))
            m_remainingText.remove_prefix(byteOrderMark.size());
    }

    // Callback of type ini_reader; has the interface of fgets().
    static char *readLine(char *buffer, int size, void *source)
    {
        return static_cast<LineSource *>(source)->readLine(buffer, size);
    }

    // Callback of type ini_handler.
    static int handleField(void *source, const char *, const char *name, const char *value)
    {
        static_cast<LineSource *>(source)->addField(name, value);
        return 1;
    }

    // Adds a finding when inih reported no field for the current line. Also called after the last line.
    void checkExpectedField()
    {
        if (m_expectsField)
            addFinding("", "line must be \"[section]\", \"name = value\" or a comment");
        m_expectsField = false;
    }

private:
    char *readLine(char *buffer, int size)
    {
        checkExpectedField();
        if (m_remainingText.empty())
            return nullptr;
        ++m_line;
        const std::size_t end = m_remainingText.find('\n');
        std::string_view line = trim(m_remainingText.substr(0, end));
        m_remainingText = end == std::string_view::npos ? std::string_view() : m_remainingText.substr(end + 1);
        if (!checkLine(line))
            line = {};
        assert(line.size() + 2 <= static_cast<std::size_t>(size));
        line.copy(buffer, line.size());
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    // Returns whether inih has to read the line. Adds findings for invalid lines and handles section headers.
    bool checkLine(std::string_view line)
    {
        if (line.empty() || commentPrefixes.find(line.front()) != std::string_view::npos)
            return line.size() <= maxLineBytes;
        if (line.size() > maxLineBytes) {
            addFinding("", absl::StrCat("line is longer than ", maxLineBytes, " bytes"));
            return false;
        }
        if (!std::all_of(line.begin(), line.end(), isTextByte)) {
            addFinding("", "line contains a control character; only text is allowed");
            return false;
        }
        if (line.front() == '[')
            return beginSection(line);
        m_expectsField = true;
        return true;
    }

    bool beginSection(std::string_view line)
    {
        const std::size_t end = line.find(']');
        if (end == std::string_view::npos) {
            addFinding("", "section header has no closing ']'");
            return false;
        }
        const std::string_view name = trim(line.substr(1, end - 1));
        const std::string_view rest = trim(line.substr(end + 1));
        if (!rest.empty() && commentPrefixes.find(rest.front()) == std::string_view::npos)
            addFinding(name, "only a comment may follow a section header");
        if (name.empty() || name.size() > maxIniNameBytes)
            addFinding("", absl::StrCat("section name must have 1 to ", maxIniNameBytes, " bytes"));
        m_file.sections.push_back({std::string(name.substr(0, maxIniNameBytes)), m_line, {}});
        return false; // addField() assigns the fields to sections, so inih does not need the header
    }

    void addField(std::string_view name, std::string_view value)
    {
        m_expectsField = false;
        if (name.empty() || name.size() > maxIniNameBytes) {
            addFinding("", absl::StrCat("field name must have 1 to ", maxIniNameBytes, " bytes"));
            return;
        }
        m_file.sections.back().fields.push_back({std::string(name), std::string(value), m_line});
    }

    void addFinding(std::string_view field, std::string message)
    {
        m_file.findings.push_back({m_file.name, m_line, std::string(field), std::move(message)});
    }

    IniFile &m_file;
    std::string_view m_remainingText;
    int m_line = 0;
    bool m_expectsField = false; // inih has not yet reported the field of the current line
};

} // namespace

// IniFile -------------------------------------------------------------------------------------------

std::string_view trim(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

std::vector<std::string_view> splitList(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    if (trim(text).empty())
        return parts;
    for (std::size_t begin = 0; begin <= text.size();) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        parts.push_back(trim(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return parts;
}

IniFile readIni(std::string_view name, std::string_view text)
{
    [[maybe_unused]] static const bool configured = configureInih();
    IniFile file{std::string(name), {IniSection{}}, {}};
    if (text.size() > maxTextBytes) {
        file.findings.push_back({file.name, 0, "", absl::StrCat("text is longer than ", maxTextBytes, " bytes")});
        return file;
    }
    LineSource source(file, text);
    ini_parse_stream(LineSource::readLine, &source, LineSource::handleField, &source);
    source.checkExpectedField();
    return file;
}

tl::expected<std::string, core::Findings> readTextFile(const std::string &path, std::size_t maxBytes)
{
    const auto fail = [&](std::string message) {
        return tl::make_unexpected(core::Findings{{path, 0, "", std::move(message)}});
    };
    std::error_code error;
    if (std::filesystem::is_directory(path, error))
        return fail("is a directory, a file is needed");
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return fail(absl::StrCat("cannot be opened: ", std::strerror(errno)));
    std::string text(maxBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad())
        return fail("cannot be read");
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

std::string toString(const core::Finding &finding)
{
    std::string text = finding.file;
    if (finding.line > 0)
        absl::StrAppend(&text, ":", finding.line);
    if (!text.empty())
        text += ": ";
    if (finding.isWarning)
        text += "warning: ";
    if (!finding.field.empty())
        absl::StrAppend(&text, finding.field, ": ");
    return text + finding.message;
}

void sortFindings(core::Findings &findings)
{
    std::stable_sort(findings.begin(), findings.end(), [](const core::Finding &left, const core::Finding &right) {
        return std::tie(left.file, left.line) < std::tie(right.file, right.line);
    });
    if (findings.size() > maxFindings)
        findings.resize(maxFindings);
}

void checkSections(const IniFile &file, std::span<const std::string_view> known, core::Findings &findings)
{
    std::string allowed;
    for (const std::string_view name : known)
        absl::StrAppend(&allowed, allowed.empty() ? "[" : ", [", toAbsl(name), "]");
    for (const IniSection &section : file.sections) {
        if (section.line == 0) {
            for (const IniField &field : section.fields)
                findings.push_back({file.name, field.line, field.name, "field is before the first section header"});
        } else if (std::find(known.begin(), known.end(), section.name) == known.end()) {
            findings.push_back({file.name, section.line, section.name, "unknown section; allowed are " + allowed});
        }
    }
}

// SectionReader -------------------------------------------------------------------------------------

SectionReader::SectionReader(const IniFile &file, std::string_view section, core::Findings &findings)
    : m_file(file), m_section(section), m_findings(findings)
{
    for (const IniSection &candidate : file.sections) {
        if (candidate.name == section && (candidate.line > 0 || section.empty()))
            m_sections.push_back(&candidate);
    }
}

int SectionReader::line() const
{
    return m_sections.empty() ? 0 : m_sections.front()->line;
}

std::string SectionReader::fieldName(std::string_view field) const
{
    return m_section.empty() ? std::string(field) : absl::StrCat(m_section, ".", toAbsl(field));
}

void SectionReader::addFinding(const IniField &field, std::string message)
{
    m_findings.push_back({m_file.name, field.line, fieldName(field.name), std::move(message)});
}

const IniField *SectionReader::findField(std::string_view field)
{
    m_readFields.emplace_back(field);
    for (const IniSection *section : m_sections) {
        for (const IniField &candidate : section->fields) {
            if (candidate.name == field)
                return &candidate;
        }
    }
    return nullptr;
}

bool SectionReader::readText(std::string_view field, std::string &target, std::size_t maxBytes)
{
    const IniField *found = findField(field);
    if (!found)
        return false;
    if (found->value.empty() || found->value.size() > maxBytes) {
        addFinding(*found, absl::StrCat("text must have 1 to ", maxBytes, " bytes"));
        return false;
    }
    target = found->value;
    return true;
}

void SectionReader::require(std::string_view field, std::string_view allowed)
{
    if (findField(field))
        return;
    m_findings.push_back(
            {m_file.name, line(), fieldName(field), absl::StrCat("field is missing; it must be ", toAbsl(allowed))});
}

void SectionReader::addNumberFinding(const IniField &field, std::string_view kind, std::string_view min,
                                     std::string_view max)
{
    addFinding(field,
               absl::StrCat("\"", field.value, "\" is not ", toAbsl(kind), " from ", toAbsl(min), " to ", toAbsl(max)));
}

int SectionReader::findChoice(const IniField &field, std::span<const std::string_view> values)
{
    std::string allowed;
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (field.value == values[i])
            return static_cast<int>(i);
        absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", toAbsl(values[i]));
    }
    addFinding(field, absl::StrCat("\"", field.value, "\" is not one of: ", allowed));
    return -1;
}

void SectionReader::finish()
{
    std::string allowed;
    std::sort(m_readFields.begin(), m_readFields.end());
    m_readFields.erase(std::unique(m_readFields.begin(), m_readFields.end()), m_readFields.end());
    for (const std::string &name : m_readFields)
        absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", name);

    std::vector<const IniField *> seen;
    for (const IniSection *section : m_sections) {
        if (section != m_sections.front())
            m_findings.push_back({m_file.name, section->line, m_section,
                                  absl::StrCat("section occurs again; the first one is in line ", line())});
        for (const IniField &field : section->fields) {
            const auto first = std::find_if(seen.begin(), seen.end(),
                                            [&](const IniField *other) { return other->name == field.name; });
            if (!std::binary_search(m_readFields.begin(), m_readFields.end(), field.name))
                addFinding(field, "unknown field; allowed are " + allowed);
            else if (first != seen.end())
                addFinding(field, absl::StrCat("field occurs again; the first one is in line ", (*first)->line));
            else
                seen.push_back(&field);
        }
    }
}

// Numbers -------------------------------------------------------------------------------------------

namespace detail {

template <Number T> bool parseNumber(std::string_view text, T &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return false;
    if constexpr (std::floating_point<T>)
        return std::isfinite(value);
    return true;
}

template <Number T> std::string formatNumber(T value)
{
    return absl::StrCat(value);
}

template bool parseNumber(std::string_view text, std::uint32_t &value);
template bool parseNumber(std::string_view text, std::uint64_t &value);
template bool parseNumber(std::string_view text, std::int64_t &value);
template bool parseNumber(std::string_view text, float &value);
template bool parseNumber(std::string_view text, double &value);
template std::string formatNumber(std::uint32_t value);
template std::string formatNumber(std::uint64_t value);
template std::string formatNumber(std::int64_t value);
template std::string formatNumber(float value);
template std::string formatNumber(double value);

} // namespace detail

} // namespace clementinelift::config
