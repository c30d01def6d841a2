#include "command/route_table.h"

#include <strings.h>

namespace clementinelift::command {

namespace {

// Hosts are compared without case and without a port.
bool isSameHost(std::string_view configured, std::string_view requested)
{
    requested = requested.substr(0, requested.find(':'));
    return configured.size() == requested.size()
            && strncasecmp(configured.data(), requested.data(), requested.size()) == 0;
}

} // namespace

bool RouteTable::apply(Configuration &&configuration)
{
    if (configuration.version <= m_configuration.version)
        return false;
    m_configuration = std::move(configuration);
    return true;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : m_configuration.routes) {
        if (!path.starts_with(route.prefix) || !isSameHost(route.host, host))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

const Service *RouteTable::findService(std::string_view name) const
{
    for (const Service &service : m_configuration.services) {
        if (service.name == name)
            return &service;
    }
    return nullptr;
}

} // namespace clementinelift::command
