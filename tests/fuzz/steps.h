// The scenario language, with one step per line. Scenario files and the fuzzer both use it.
// docs/scenarios.md describes it.
//
// Contents
//   Step             one step
//   parseSteps       parses text into steps
//   ScenarioRunner   applies steps to a world
#pragma once

#include "fuzz/world.h"

#include <tl/expected.hpp>

namespace clementinelift::fuzz {

// Step ----------------------------------------------------------------------------------------------

struct Step
{
    int line = 0; // 1-based
    std::string verb;
    std::vector<std::string> words;             // arguments without "="
    std::map<std::string, std::string> options; // name=value
};

std::string toString(const Step &step);

// Returns all steps, or all errors as "FILE:LINE: message", one per line.
tl::expected<std::vector<Step>, std::string> parseSteps(const std::string &file, const std::string &text);

// ScenarioRunner --------------------------------------------------------------------------------------------

class ScenarioRunner
{
public:
    explicit ScenarioRunner(Variant variant = Variant::None) : m_variant(variant) {}

    // Returns an empty text on success, or an error: a bad argument or an expectation that does not hold.
    std::string runStep(const Step &step);
    const Oracle &oracle();

private:
    World &world();
    std::string expect(const Step &step);

    Variant m_variant;
    std::unique_ptr<World>
            m_world; // created by the step "world", or with default options when the first step is another one
    std::map<std::size_t, std::uint64_t> m_marks;
};

} // namespace clementinelift::fuzz
