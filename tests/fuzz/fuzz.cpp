// Random steps against one to three cores. RC_PARAMS sets the seed and the number of cases, for example
//     RC_PARAMS="seed=7 max_success=20000" build/bin/fuzz_core
// A failing case is shrunk and printed as a scenario file, which can be added to tests/scenarios.
#include "fuzz/steps.h"

#include <rapidcheck.h>

#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <iostream>
#include <utility>

namespace clementinelift::fuzz {

namespace {

constexpr int settleMs = 16000; // longer than every deadline, failure detection and grant

// Random numbers from which toLine() makes one step.
struct Draw
{
    int kind = 0;
    int a = 0;
    int b = 0;
    int c = 0;
};

std::string toLine(const Draw &draw, int nodes, int backends)
{
    const std::string node = absl::StrCat("e", draw.a % nodes);
    const std::string other = absl::StrCat("e", draw.b % nodes);
    const std::string backend = absl::StrCat("b", draw.b % backends);
    const std::string id = absl::StrCat("k", draw.b % 12);
    constexpr std::array modes{"ok", "failing", "stalled", "busy", "mute", "late", "crashed"};
    constexpr std::array deadlines{300, 1000, 2500, 5000};
    if (draw.kind < 39) {
        // The parity of the id decides the template, and 15 of 16 have body 0: most resubmissions repeat the body.
        return absl::StrCat("submit ", id, " at=", node, " template=", draw.b % 2 == 0 ? "once" : "again",
                            " tasks=", 1 + draw.b % 4, " run=", 20 + draw.b % 12 * 40,
                            " deadline=", deadlines[draw.c % 4], " body=", draw.c % 16 == 15 ? 1 : 0,
                            " wait=", draw.c % 8 == 7 ? 0 : 1);
    }
    if (draw.kind < 42)
        return absl::StrCat("submit burst", draw.b % 3, " at=all tasks=2 run=", 30 + draw.a,
                            " count=", 4 + draw.c % 20);
    if (draw.kind < 44)
        return absl::StrCat("cancel ", id, " at=", node);
    if (draw.kind < 48)
        return absl::StrCat("fetch ", id, " at=", node, " wait=", draw.c * 20);
    if (draw.kind < 60)
        return absl::StrCat("run ", 1 + draw.c * draw.b % 3000);
    if (draw.kind < 68)
        return absl::StrCat("backend ", backend, " ", modes[draw.c % modes.size()], " factor=", 1 + draw.a % 4);
    if (draw.kind < 70)
        return absl::StrCat("rack r0 ", modes[draw.c % modes.size()]);
    if (draw.kind < 72)
        return absl::StrCat("backend ", backend, " leaving");
    if (draw.kind < 76)
        return absl::StrCat(draw.c % 3 == 0 ? "crash " : "restart ", node);
    if (draw.kind < 80)
        return absl::StrCat(draw.c % 2 == 0 ? "freeze " : "thaw ", node);
    if (draw.kind < 81)
        return absl::StrCat("drain ", node);
    if (draw.kind < 82)
        return draw.c % 2 == 0 ? "list down" : "list up";
    if (draw.kind < 85)
        return absl::StrCat("clock ", node, " ", (draw.c - 50) * 200);
    if (draw.kind < 89 && node != other)
        return absl::StrCat(draw.c % 2 == 0 ? "cut " : "heal ", node, " ", other);
    if (draw.kind < 91)
        return absl::StrCat(draw.c % 2 == 0 ? "cut " : "heal ", node, " platform");
    if (draw.kind < 93)
        return absl::StrCat(draw.c % 2 == 0 ? "cut " : "heal ", node, " ", backend);
    if (draw.kind < 96) {
        constexpr std::array logs{"log up", "log down", "log slow", "log lose 2"};
        return logs[draw.c % logs.size()];
    }
    const std::string base = draw.c % 4 == 3 ? " base=1" : "";
    return absl::StrCat("publish template/", draw.b % 2 == 0 ? "once" : "again",
                        " repeat=", draw.b % 2 == 0 ? "never" : "allowed", " deadline_ms=", 4000 + draw.c * 10, base);
}

// Shrinking removes whole steps only; shrinking the numbers of the steps as well takes minutes.
rc::Gen<Draw> genDraw()
{
    const auto number = rc::gen::noShrink(rc::gen::inRange(0, 100));
    return rc::gen::build<Draw>(rc::gen::set(&Draw::kind, number), rc::gen::set(&Draw::a, number),
                                rc::gen::set(&Draw::b, number), rc::gen::set(&Draw::c, number));
}

void showValue(const Draw &, std::ostream &) {} // the failure message has the script

struct Totals
{
    std::size_t cases = 0;
    std::size_t steps = 0;
    std::size_t answers = 0;
    std::size_t completed = 0;
    bool hasFailed = false;
};

bool runFuzzer(Totals &totals)
{
    return rc::check("all guarantees hold under random faults", [&totals] {
        const auto seed = *rc::gen::noShrink(rc::gen::inRange(1, 1000000));
        const auto nodes = *rc::gen::inRange(1, 4);
        const auto backends = *rc::gen::inRange(1, 6);
        const auto draws = *rc::gen::container<std::vector<Draw>>(genDraw());
        std::string script =
                absl::StrCat("world seed=", seed, " nodes=", nodes, " zones=", 1 + seed % 3, " backends=", backends,
                             " slots=", 1 + seed % 4, " queue=", seed % 3 == 0 ? 12 : 200, " list_lag=", seed % 7 * 400,
                             " retention=", 18000 + seed % 9 * 1000, "\nrun ", seed % 5 == 0 ? 0 : 1500, "\n");
        for (const Draw &draw : draws)
            absl::StrAppend(&script, toLine(draw, nodes, backends), "\n", "run ", draw.c * draw.c % 311, "\n");
        absl::StrAppend(&script, "settle ", settleMs, "\n");
        if (std::getenv("FUZZ_SHOW") != nullptr)
            std::cerr << "----\n" << script << std::flush;
        ScenarioRunner runner;
        const auto steps = parseSteps("script", script);
        RC_ASSERT(steps.has_value());
        for (const Step &step : *steps) {
            const std::string error = runner.runStep(step);
            RC_ASSERT(error == std::string());
            if (!runner.oracle().violations().empty())
                break;
        }
        ++totals.cases;
        totals.steps += steps->size();
        totals.answers += runner.oracle().answered();
        totals.completed += runner.oracle().completed();
        if (runner.oracle().violations().empty())
            return;
        if (!std::exchange(totals.hasFailed, true))
            std::cout << "failed, shrinking: " << runner.oracle().violations().front() << std::endl;
        RC_FAIL(runner.oracle().violations().front() + "\n" + script);
    });
}

} // namespace

} // namespace clementinelift::fuzz

int main()
{
    clementinelift::fuzz::Totals totals;
    const bool isPassed = clementinelift::fuzz::runFuzzer(totals);
    std::cout << "cases=" << totals.cases << " steps=" << totals.steps << " answers=" << totals.answers
              << " complete=" << totals.completed << "\n";
    return isPassed ? 0 : 1;
}
