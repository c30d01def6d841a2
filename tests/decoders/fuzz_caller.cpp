// Fuzzes the requests of callers: the first line is "METHOD path?name=value", the rest is the body.
// Guards against crashes and exceptions, and against accepted requests that break the bounds of the core.
#include "dispatcher/caller_api.h"

#include <cstdlib>

using namespace clementinelift;

namespace {

net::HttpRequest makeRequest(std::string_view text)
{
    net::HttpRequest request;
    const std::size_t lineEnd = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, lineEnd);
    request.body = text.substr(std::min(lineEnd + 1, text.size()));
    const std::size_t blank = std::min(line.find(' '), line.size());
    request.method = line.substr(0, blank);
    line.remove_prefix(std::min(blank + 1, line.size()));
    const std::size_t questionMark = std::min(line.find('?'), line.size());
    request.path = line.substr(0, questionMark);
    line.remove_prefix(std::min(questionMark + 1, line.size()));
    const std::size_t equals = line.find('=');
    if (equals != std::string_view::npos)
        request.query.emplace_back(line.substr(0, equals), line.substr(equals + 1));
    return request;
}

void require(bool condition)
{
    if (!condition)
        std::abort();
}

void checkJob(const core::JobRequest &job)
{
    require(!job.tasks.empty() && job.tasks.size() <= 310);
    require(!job.organisation.empty() && job.organisation.size() <= net::maxNameBytes);
    require(job.deadlineMs >= 0 && job.deadlineMs <= net::maxDeadlineMs);
    require(core::parseKey(core::toString(job.key)) == job.key);
    for (const core::TaskRequest &task : job.tasks)
        require(task.cores >= 0 && task.cores <= 4096);
    const std::string bytes = net::encodePeerMessage(core::SubmitForward{1, core::SubmitKind::Submit, 0, job});
    const auto forwarded = net::decodePeerMessage(bytes); // the owner of the key must accept the job as well
    require(forwarded && net::encodePeerMessage(*forwarded) == bytes);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(*-identifier-naming)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto routed = dispatcher::routeRequest(core::CallerId{1}, makeRequest(text), {});
    if (const auto *event = std::get_if<core::Event>(&routed)) {
        if (const auto *submit = std::get_if<core::SubmitJob>(event))
            checkJob(submit->request);
    } else if (const auto *answer = std::get_if<net::HttpAnswer>(&routed)) {
        require(answer->status == 200 || answer->status / 100 == 4);
    }
    const auto job = net::decodeJobRequest(text, 310);
    if (job)
        checkJob(*job);
    (void)net::decodeAttemptStatus(text);
    return 0;
}
