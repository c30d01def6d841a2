// One entry VM: a control thread that owns the core, and the I/O threads around it.
//
//     auto daemon = Daemon::start(settings);        // callers are served from now on
//     (*daemon)->drain();                           // after SIGTERM
//     while (!(*daemon)->isDrained()) ...wait
//     daemon->reset();                              // delivers pending answers, then closes
#pragma once

#include "config/settings.h"

#include <memory>
#include <string>

namespace clementinelift::dispatcher {

class Daemon
{
public:
    // The error names the address that could not be used.
    static tl::expected<std::unique_ptr<Daemon>, std::string> start(const config::ProcessSettings &settings);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon();

    // Thread-safe. Begins a graceful shutdown; repeated calls have no effect.
    void drain();

    // Thread-safe. True when all jobs have ended and the grants are released, also when an operator requested the
    // drain over HTTP.
    bool isDrained() const;

private:
    struct State;
    explicit Daemon(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::dispatcher
