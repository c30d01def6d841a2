// The configuration in force and the route of a request.
#pragma once

#include "command/events.h"

#include <span>

namespace clementinelift::command {

class RouteTable
{
public:
    // False when this or a later version is already in force.
    bool apply(Configuration &&configuration);

    bool isKnown() const { return m_configuration.version > 0; }
    const Configuration &configuration() const { return m_configuration; }
    std::span<const Route> routes() const { return m_configuration.routes; }

    // The route of this host with the longest prefix of the path; null: none.
    const Route *find(std::string_view host, std::string_view path) const;
    const Service *findService(std::string_view name) const;

private:
    Configuration m_configuration;
};

} // namespace clementinelift::command
