// Requests to backend servers (docs/protocols.md, section 3); each result comes back as an event.
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

    void start(core::StartAttempt &&action); // AttemptEnded follows exactly once
    void stop(const core::StopAttempt &action);
    void query(const core::QueryAttempt &action); // AttemptStatus follows
    void probe(const core::ProbeBackend &action); // BackendProbed follows

    // Every entry VM stays within its share of the connections that a backend server accepts.
    void shareConnections(std::uint32_t entryVms);

    void close(); // ends all requests; their events are still posted

    std::uint64_t controlBytes() const; // of stops, queries and probes

private:
    Post m_post;
    net::HttpClient m_tasks;
    net::HttpClient m_control; // apart from tasks, so that a stop does not wait for a connection that a task uses
    std::uint32_t m_entryVms = 0;
};

// What a response to POST /v1/tasks/{attempt} says about the attempt.
core::AttemptEnded readAttemptEnd(const core::AttemptId &attempt, net::HttpResult &&result);

} // namespace clementinelift::dispatcher
