// The scenario language: one step a line, the same for scripted scenarios and for runs of the fuzzer.
// docs/scenarios.md describes it.
//
// Contents
//   Step          one line
//   parseSteps    text to steps
//   Player        steps applied to a world
#pragma once

#include "fuzz/world.h"

#include <tl/expected.hpp>

namespace clementinelift::fuzz {

// Step ----------------------------------------------------------------------------------------------

struct Step
{
    int line = 0; // 1-based
    std::string verb;
    std::vector<std::string> words;             // without "="
    std::map<std::string, std::string> options; // name=value
};

std::string toString(const Step &step);

// Returns all steps, or all errors as "FILE:LINE: message", one a line.
tl::expected<std::vector<Step>, std::string> parseSteps(const std::string &file, const std::string &text);

// Player --------------------------------------------------------------------------------------------

class Player
{
public:
    explicit Player(Variant variant = Variant::None) : m_variant(variant) {}

    // Returns an empty text, or what is wrong: bad arguments or an expectation that does not hold.
    std::string play(const Step &step);
    const Oracle &oracle();

private:
    World &world();
    std::string expect(const Step &step);

    Variant m_variant;
    std::unique_ptr<World> m_world; // made by the step "world", or with defaults by the first other one
    std::map<std::size_t, std::uint64_t> m_marks;
};

} // namespace clementinelift::fuzz
