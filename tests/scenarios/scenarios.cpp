// Runs scenario files: scenarios [--journal] [--variant NAME --must-violate TEXT] FILE...
// Without a variant every expectation and every guarantee must hold. With one, the oracle must report a violation
// that starts with TEXT; failed expectations are ignored.
#include "fuzz/steps.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace clementinelift::fuzz;

namespace {

struct Options
{
    Variant variant = Variant::None;
    std::string mustViolate;
    bool isJournalWanted = false;
    std::vector<std::string> files;
};

bool hasViolation(const std::vector<std::string> &violations, const std::string &start)
{
    for (const std::string &violation : violations) {
        if (violation.rfind(start, 0) == 0)
            return true;
    }
    return false;
}

bool runFile(const std::string &file, const Options &options)
{
    std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto steps = parseSteps(file, text.str());
    if (!input || !steps) {
        std::cerr << (input ? steps.error() : file + ": cannot be read\n");
        return false;
    }
    ScenarioRunner runner(options.variant);
    bool isPassed = true;
    for (const Step &step : *steps) {
        const std::string error = runner.runStep(step);
        const auto &violations = runner.oracle().violations();
        if (!error.empty() && options.variant == Variant::None) {
            std::cerr << file << ":" << step.line << ": " << error << "\n";
            isPassed = false;
        }
        if (!violations.empty() || !isPassed) {
            for (const std::string &violation : violations)
                std::cerr << file << ":" << step.line << ": violation: " << violation << "\n";
            break;
        }
    }
    if (options.isJournalWanted) {
        for (const std::string &line : runner.oracle().journal())
            std::cout << line << "\n";
    }
    const auto &violations = runner.oracle().violations();
    return options.variant == Variant::None ? isPassed && violations.empty()
                                            : hasViolation(violations, options.mustViolate);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--journal")
            options.isJournalWanted = true;
        else if (argument == "--variant" && i + 1 < argc && parseVariant(argv[i + 1]))
            options.variant = *parseVariant(argv[++i]);
        else if (argument == "--must-violate" && i + 1 < argc)
            options.mustViolate = argv[++i];
        else if (argument.rfind("--", 0) != 0)
            options.files.push_back(argument);
        else {
            std::cerr << "unknown or incomplete argument " << argument << "\n";
            return 2;
        }
    }
    bool isPassed = !options.files.empty();
    for (const std::string &file : options.files)
        isPassed = runFile(file, options) && isPassed;
    return isPassed ? 0 : 1;
}
