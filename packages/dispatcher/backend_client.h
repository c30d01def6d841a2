// Sends requests to backend servers (docs/protocols.md, section 3) and posts each result as an event.
#pragma once

#include "core/events.h"
#include "net/http_client.h"

namespace clementinelift::dispatcher {

class BackendClient
{
public:
    using Post = std::function<void(core::Event &&)>;

    // post is called on the threads of the HTTP clients.
    explicit BackendClient(Post post);

    void start(core::StartAttempt &&action); // posts AttemptEnded exactly once
    void stop(const core::StopAttempt &action);
    void query(const core::QueryAttempt &action); // posts AttemptStatus
    void probe(const core::ProbeBackend &action); // posts BackendProbed

    // Limits the connections per backend server to an equal share for each of the entry VMs.
    void shareConnections(std::uint32_t entryVms);

    void close(); // cancels all requests; their events are still posted

    std::uint64_t controlBytes() const; // total of stops, queries and probes

private:
    Post m_post;
    net::HttpClient m_tasks;
    net::HttpClient m_control; // separate, so that a stop does not wait for a connection that a task uses
    std::uint32_t m_entryVms = 0;
};

// Derives the outcome of an attempt from the response to POST /v1/tasks/{attempt}.
core::AttemptEnded readAttemptEnd(const core::AttemptId &attempt, net::HttpResult &&result);

} // namespace clementinelift::dispatcher
