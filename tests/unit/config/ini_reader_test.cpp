#include "config/entries.h"
#include "config/ini_reader.h"
#include "config/settings.h"

#include <catch2/catch.hpp>

#include <random>

using namespace clementinelift;
using namespace clementinelift::config;

// Guards against findings with a wrong line number.
TEST_CASE("ini sections and fields carry their lines")
{
    const IniFile file =
            readIni("f.ini", "; comment\nbefore = 1\n\n[one]\na = x y ; comment\n  b: 2\r\n[two] # c\n[one]\nc=");
    REQUIRE(file.findings.empty());
    REQUIRE(file.sections.size() == 4);
    CHECK(file.sections[0].fields[0].line == 2);
    CHECK(file.sections[1].line == 4);
    CHECK(file.sections[1].fields[0].value == "x y");
    CHECK(file.sections[1].fields[1].name == "b");
    CHECK(file.sections[1].fields[1].value == "2");
    CHECK(file.sections[1].fields[1].line == 6);
    CHECK(file.sections[2].fields.empty());
    CHECK(file.sections[3].fields[0].value.empty());
    CHECK(file.sections[3].fields[0].line == 9);
}

// Guards against lines that inih skips or cuts without an error.
TEST_CASE("lines that are no ini are findings")
{
    const std::string longValue(5000, 'v');
    const IniFile file = readIni("f.ini",
                                 "a = " + longValue + "\nb = " + std::string(9000, 'w') + "\n[open\nword\nc = \x01\n["
                                         + std::string(60, 's') + "]\n[x] y\n= 1\n" + std::string(60, 'n') + " = 1\n");
    CHECK(file.sections[0].fields[0].value == longValue);
    std::vector<int> lines;
    for (const core::Finding &finding : file.findings)
        lines.push_back(finding.line);
    CHECK(lines == std::vector<int>{2, 3, 4, 5, 6, 7, 8, 9});
    CHECK(readIni("f.ini", std::string(maxTextBytes + 1, 'x')).findings.size() == 1);
}

// Guards against crashes and endless loops on random input, for example from a damaged settings file.
TEST_CASE("garbage gives findings and never a crash")
{
    std::mt19937_64 random(20261204);
    constexpr std::string_view special("[]=:;# \t\r\n\xff\xef\xbb\xbf\x00", 15);
    const std::string alphabet = std::string(special) + "nodetmplag_-./@,0123456789";
    for (int round = 0; round < 3000; ++round) {
        std::string text(random() % 200, '\0');
        for (char &c : text)
            c = round % 2 ? static_cast<char>(random()) : alphabet[random() % alphabet.size()];
        CHECK_FALSE(parseSettings("garbage", text));
        for (const char *name : {"template/a", "organisation/a"}) {
            if (const auto entry = parseEntry(name, text); !entry)
                CHECK_FALSE(entry.error().empty());
        }
        if (const auto entries = splitEntries("garbage", text); !entries)
            CHECK_FALSE(entries.error().empty());
    }
}

// Guards against printed findings without the file, line or field.
TEST_CASE("findings are printed with file, line and field")
{
    CHECK(toString(core::Finding{"a.ini", 3, "node.name", "is wrong"}) == "a.ini:3: node.name: is wrong");
    CHECK(toString(core::Finding{"a.ini", 0, "", "is wrong"}) == "a.ini: is wrong");
    REQUIRE_FALSE(readTextFile("does/not/exist.ini"));
    CHECK(readTextFile("does/not/exist.ini").error()[0].file == "does/not/exist.ini");
    CHECK_FALSE(readTextFile("."));
}
