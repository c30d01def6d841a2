// Runs the command core on the users' platform: event loop, HTTP servers and clients, peer links.
//
// One control thread owns the core. The threads of the HTTP servers, of the HTTP client and of the peer links hand
// events to it through a queue.
#pragma once

#include "platform/settings.h"

#include <memory>

namespace clementinelift::dispatcher {

class FleetDaemon
{
public:
    // The error names the address that could not be used and the cause.
    static tl::expected<std::unique_ptr<FleetDaemon>, std::string> start(const platform::PlatformSettings &settings,
                                                                         std::uint16_t metricsPort);
    FleetDaemon(const FleetDaemon &) = delete;
    FleetDaemon &operator=(const FleetDaemon &) = delete;
    ~FleetDaemon(); // hands over the command of backend servers, delivers pending answers, then closes all connections

    // Thread-safe. Applies maxLeaseUs and stopGraceUs; logs a warning for each changed field that needs a restart.
    void reload(const platform::PlatformSettings &settings);

    // Thread-safe.
    void drain();
    bool isDrained() const;

private:
    struct State;
    explicit FleetDaemon(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace clementinelift::dispatcher
