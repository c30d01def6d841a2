// Command line of the operator tool.

#include "ctl/commands.h"

#include <absl/strings/str_split.h>
#include <docopt/docopt.h>

#include <charconv>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace clementinelift;

constexpr const char *defaultSettings = "/etc/clementinelift/settings.ini";

constexpr const char *manual = R"(NAME
  clementinelift-ctl - publish templates and parameters, watch and drain entry VMs

Usage:
  clementinelift-ctl check [--config=FILE] [--json] [--store=ADDRESS | --against=FILE] [--timeout=SECONDS]
                           [--registry=FILE]... [--entry-memory=MB] [--job=JOB]... [<file>...]
  clementinelift-ctl diff [--config=FILE] [--json] [--store=ADDRESS | --against=FILE] [--timeout=SECONDS] <file>...
  clementinelift-ctl publish [--config=FILE] [--json] [--timeout=SECONDS] [--author=NAME] [--based-on=OFFSET]
                             [--no-wait] [--delete=ENTRY]... [<file>...]
  clementinelift-ctl show [--config=FILE] [--json] [--timeout=SECONDS] [<entry>...]
  clementinelift-ctl history [--config=FILE] [--json] [--timeout=SECONDS] [--limit=N]
  clementinelift-ctl status [--config=FILE] [--json] [--metrics=LIST]
  clementinelift-ctl drain [--config=FILE] [--json] <vm>...
  clementinelift-ctl keys [--config=FILE] [--json] [--count=N] <organisation>
  clementinelift-ctl explain [--config=FILE] [--json] [--issued-at=MS] <organisation> <key>
  clementinelift-ctl (-h | --help)
  clementinelift-ctl --version

Commands:
  check     Reports all findings in files for publishing, and in the settings when --config is given. A file with a JSON
            object is a configuration of the platform (the record "config" of its store).
  diff      Compares files with the accepted entries, field by field. Compares a configuration of the platform with the
            version in force (--store or --against), and says what the change does to the requests of each route.
  publish   Publishes files as one change: all entries or none. Says "accepted" after reading the change back, then
            waits until every live entry VM has applied it and names those that have not.
  show      Prints accepted entries (template/NAME, organisation/NAME; all without argument) as text that can be
            edited and published again.
  history   Prints the changes that the log service keeps, with their verdict.
  status    Asks every entry VM for its state. With --metrics, the entry VMs on the platform: their state, and for each
            evacuated zone since when, and how many runs are left.
  drain     Stops entry VMs gracefully: running jobs end, new ones go elsewhere.
  keys      Prints new submission keys of an organisation.
  explain   Prints what happened to the job with this key, from all entry VMs.

Options:
  --config=FILE       Settings of any entry VM of the deployment, /etc/clementinelift/settings.ini without it.
  --json              Print one JSON document instead of text.
  --timeout=SECONDS   Time to reach the log service, and again for entry VMs to apply a change [default: 20].
  --store=ADDRESS     ip:port of the platform's store, from which the version in force is read.
  --against=FILE      File with the version in force, when the store cannot be reached.
  --registry=FILE     Registry of backend servers, as the platform's store returns it; one option for each page.
  --entry-memory=MB   Memory of the smallest entry VM.
  --job=JOB           A job that callers send, ROUTE,TASKS,CPU,MEMMB,ESTIMATEMS: name of the route or "*" for all, number
                      of tasks, and of a task the thousandths of a core, MiB and shortest run time.
  --author=NAME       Who publishes; the name of the user without it.
  --based-on=OFFSET   Offset that show or diff printed. Entries that were set later are a conflict.
  --no-wait           Do not wait for the entry VMs.
  --delete=ENTRY      Delete template/NAME or organisation/NAME; may be given several times.
  --limit=N           Newest changes to print [default: 50].
  --metrics=LIST      Metrics addresses (ip:port) of entry VMs on the platform, separated by commas.
  --count=N           Keys to print, 1 to 1000 [default: 1].
  --issued-at=MS      Issue time of a key that was built from an id of the caller.
  -h --help           Print this page.
  --version           Print the version.

Exit codes:
  0  done; publish: accepted and in force on every live entry VM, or nothing to change; diff: no difference
  1  findings: the input is not valid, nothing was sent
  2  wrong command line
  3  conflict: another change won, nothing of this one is in force
  4  the log service or VM list cannot be used; nothing was changed
  5  uncertain: the change may be in the log; history shows its verdict later
  6  accepted, but the named entry VMs have not reported it yet
  7  an entry VM could not be reached or refused the request
  8  diff: there are differences
  9  check: warnings only, the input is valid

Files:
  /etc/clementinelift/settings.ini   settings, see examples/clementinelift.ini

Examples:
  clementinelift-ctl check pohladnica.ini
  clementinelift-ctl check --registry=servers.json --entry-memory=120 --job='*,8,8000,512,50' config.json
  clementinelift-ctl diff --store=127.0.0.1:9000 config.json
  clementinelift-ctl publish --based-on=17 pohladnica.ini
  clementinelift-ctl publish --delete=template/reorder
)";

using Arguments = std::map<std::string, docopt::value>;

std::string textArgument(const Arguments &arguments, const std::string &name, const std::string &defaultValue)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isString() ? found->second.asString() : defaultValue;
}

std::vector<std::string> listArgument(const Arguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isStringList() ? found->second.asStringList()
                                                                    : std::vector<std::string>();
}

bool isSet(const Arguments &arguments, const std::string &name)
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

// Returns a whole number from min to max. Throws std::invalid_argument with a message for the user.
std::int64_t integerArgument(const Arguments &arguments, const std::string &name, std::int64_t min, std::int64_t max)
{
    const std::string text = textArgument(arguments, name, "");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < min || value > max)
        throw std::invalid_argument(name + " must be a whole number from " + std::to_string(min) + " to "
                                    + std::to_string(max));
    return value;
}

std::string userName()
{
    for (const char *variable : {"LOGNAME", "USER"}) {
        if (const char *name = std::getenv(variable); name && *name)
            return name;
    }
    return "operator";
}

ctl::Options readOptions(const Arguments &arguments)
{
    constexpr std::int64_t maxTimeoutS = 3600;
    constexpr std::int64_t msPerS = 1000;
    constexpr std::size_t maxAuthorBytes = 128;
    constexpr std::int64_t maxEntryMemoryMb = std::int64_t(1) << 30;
    ctl::Options options;
    const std::array<std::pair<const char *, ctl::Command>, 9> commands = {{{"check", ctl::Command::Check},
                                                                            {"diff", ctl::Command::Diff},
                                                                            {"publish", ctl::Command::Publish},
                                                                            {"show", ctl::Command::Show},
                                                                            {"history", ctl::Command::History},
                                                                            {"status", ctl::Command::Status},
                                                                            {"drain", ctl::Command::Drain},
                                                                            {"keys", ctl::Command::Keys},
                                                                            {"explain", ctl::Command::Explain}}};
    for (const auto &[name, command] : commands) {
        if (isSet(arguments, name))
            options.command = command;
    }
    options.files = listArgument(arguments, "<file>");
    for (const char *name : {"<entry>", "<vm>", "--delete"}) {
        for (std::string &item : listArgument(arguments, name))
            options.names.push_back(std::move(item));
    }
    options.settingsPath = textArgument(arguments, "--config", defaultSettings);
    options.checkSettings = !textArgument(arguments, "--config", "").empty();
    options.json = isSet(arguments, "--json");
    options.metrics = absl::StrSplit(textArgument(arguments, "--metrics", ""), ',', absl::SkipEmpty());
    options.wait = !isSet(arguments, "--no-wait");
    options.author = textArgument(arguments, "--author", userName());
    options.timeoutMs = integerArgument(arguments, "--timeout", 0, maxTimeoutS) * msPerS;
    options.limit = static_cast<std::size_t>(integerArgument(arguments, "--limit", 0, INT64_MAX));
    options.count = static_cast<std::uint32_t>(integerArgument(arguments, "--count", 1, 1000));
    if (!textArgument(arguments, "--based-on", "").empty())
        options.basedOn = integerArgument(arguments, "--based-on", 0, INT64_MAX);
    options.organisation = textArgument(arguments, "<organisation>", "");
    options.key = textArgument(arguments, "<key>", "");
    options.storeAddress = textArgument(arguments, "--store", "");
    options.againstFile = textArgument(arguments, "--against", "");
    options.registryFiles = listArgument(arguments, "--registry");
    options.jobs = listArgument(arguments, "--job");
    if (!textArgument(arguments, "--entry-memory", "").empty())
        options.entryMemoryMb = integerArgument(arguments, "--entry-memory", 1, maxEntryMemoryMb);
    options.issuedAt = textArgument(arguments, "--issued-at", "");
    if (options.author.empty() || options.author.size() > maxAuthorBytes)
        throw std::invalid_argument("--author must have 1 to " + std::to_string(maxAuthorBytes) + " bytes");
    const bool hasNoInput = options.files.empty() && options.names.empty() && !options.checkSettings;
    if (options.command == ctl::Command::Check && hasNoInput)
        throw std::invalid_argument("check needs files or --config");
    if (options.command == ctl::Command::Publish && options.files.empty() && options.names.empty())
        throw std::invalid_argument("publish needs files or --delete");
    return options;
}

int runMain(const std::vector<std::string> &arguments)
{
    try {
        return static_cast<int>(ctl::run(readOptions(docopt::docopt_parse(manual, arguments)), std::cout, std::cerr));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << manual;
        return static_cast<int>(ctl::ExitCode::Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "clementinelift-ctl " CLEMENTINELIFT_VERSION "\n";
        return static_cast<int>(ctl::ExitCode::Success);
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << "clementinelift-ctl: " << error.what() << "; see --help\n";
    } catch (const std::invalid_argument &error) {
        std::cerr << "clementinelift-ctl: " << error.what() << "\n";
    }
    return static_cast<int>(ctl::ExitCode::Usage);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runMain({argv + 1, argv + argc});
    } catch (const std::exception &error) {
        std::cerr << "clementinelift-ctl: internal error: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
