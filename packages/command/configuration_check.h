// Checks a configuration before it is published, and tells what a change of it does to the requests of each route.
//
// Pure functions on decoded values. Findings name the place by entry and field; the platform adapter translates it to
// the names and lines of its record. A finding is an error if entry VMs reject or ignore the configuration or a route
// can never serve a request, otherwise a warning.
//
// Contents
//   ConfigurationDraft   a configuration of which some fields may be unreadable
//   Facts                what the operator knows about servers, entry VMs and jobs
//   Findings             checkConfiguration(), checkVersion()
//   Effects              findEffects()
#pragma once

#include "command/events.h"

#include <bitset>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace clementinelift::command {

// ConfigurationDraft --------------------------------------------------------------------------------

enum class ConfigurationField : std::uint8_t {
    Whole, // the entry itself
    Version,
    Name,
    Host,
    Prefix,
    Service,
    Timeout,
    Target,
    MaxAttempts,
    Stretch,
    ColdDuration,
    ColdRate,
    MaxHeaderBytes,
    MaxBodyBytes,
    HeaderTimeout,
    IdleTimeout,
};

class FieldSet
{
public:
    void add(ConfigurationField field) { m_fields.set(static_cast<std::size_t>(field)); }
    bool contains(ConfigurationField field) const { return m_fields.test(static_cast<std::size_t>(field)); }

private:
    std::bitset<32> m_fields;
};

struct RouteDraft
{
    Route route;
    FieldSet unreadable; // these fields have their default and are not checked; Whole: no field can be read
};

struct ServiceDraft
{
    Service service;
    std::optional<double> coldDurationS; // a server is slow for this long after its start
    std::optional<double> coldRatePerS;  // starts per second on such a server; 0: no limit
    FieldSet unreadable;
};

// Limits of requests; a missing or unreadable one is not checked.
struct LimitsDraft
{
    std::optional<std::int64_t> maxHeaderBytes;
    std::optional<std::int64_t> maxBodyBytes;
    std::optional<std::int64_t> headerTimeoutMs; // until the header of a request is complete
    std::optional<std::int64_t> idleTimeoutMs;   // without progress, until the connection is closed
};

struct ConfigurationDraft
{
    std::optional<std::int64_t> version;
    std::vector<RouteDraft> routes;
    std::vector<ServiceDraft> services;
    LimitsDraft limits;
    bool hasRoutes = false;   // the list can be read
    bool hasServices = false; // the list can be read
};

// Entries of which a field that routing needs is unreadable are left out.
Configuration toConfiguration(const ConfigurationDraft &draft);

// Facts ---------------------------------------------------------------------------------------------

// A kind of job that callers send.
struct ExpectedJob
{
    std::string route; // name; empty: every route
    std::uint32_t tasks = 1;
    Resources taskResources;
    std::int64_t estimateMs = 0; // of one task
};

struct Facts
{
    std::optional<std::vector<ServerEntry>> servers; // the complete registry
    std::optional<std::int64_t> entryMemoryMb;       // of the smallest entry VM
    std::vector<ExpectedJob> jobs;
};

// Findings ------------------------------------------------------------------------------------------

enum class ConfigurationPart : std::uint8_t { Top, Route, Service, Limits };

struct ConfigurationPlace
{
    ConfigurationPart part = ConfigurationPart::Top;
    std::size_t index = 0; // of the route or service
    ConfigurationField field = ConfigurationField::Whole;
};

struct ConfigurationFinding
{
    bool isWarning = false;
    ConfigurationPlace place;
    std::string text;
};

// All findings, in the order of the entries.
std::vector<ConfigurationFinding> checkConfiguration(const ConfigurationDraft &draft, const Facts &facts);

// Entry VMs ignore a configuration unless its version is above the one in force.
std::optional<ConfigurationFinding> checkVersion(const ConfigurationDraft &draft, std::int64_t inForce);

// Effects -------------------------------------------------------------------------------------------

enum class RouteEffect : std::uint8_t {
    Added,   // requests were refused before
    Kept,    // served by the same service
    Moved,   // new requests go to another service
    Refused, // from now on
};

struct RouteChange
{
    std::string route; // name before the change, of an added route its new name
    RouteEffect effect = RouteEffect::Kept;
    std::string text; // for the operator
};

// One entry for each route before the change, then one for each added route.
std::vector<RouteChange> findEffects(const Configuration &before, const Configuration &after);

std::string_view toString(RouteEffect effect);

} // namespace clementinelift::command
