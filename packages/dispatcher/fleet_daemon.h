// Process around the command core on the users' platform: event loop, HTTP servers and clients, peer links.
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
    // The error says which address could not be used and why.
    static tl::expected<std::unique_ptr<FleetDaemon>, std::string> start(const platform::PlatformSettings &settings,
                                                                         std::uint16_t metricsPort);
    FleetDaemon(const FleetDaemon &) = delete;
    FleetDaemon &operator=(const FleetDaemon &) = delete;
    ~FleetDaemon(); // hands the command of backend servers over, delivers answers, then closes everything

    // Thread-safe. Puts the bounds of changed settings in force; tells of fields that need a restart.
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
