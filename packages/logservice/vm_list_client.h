// Client of the platform's VM list (docs/protocols.md, section 5).
//
// Contents
//   Decoding
//   VmListClient   reads the list periodically
#pragma once

#include "core/events.h"
#include "net/codec.h"
#include "net/http_client.h"

namespace clementinelift::logservice {

// Decoding ------------------------------------------------------------------------------------------

// Skips VMs of other roles. One invalid or duplicate VM makes the whole list an error, because a VM missing from the
// list would count as removed.
net::Decoded<core::VmListRead> decodeVmList(std::string_view body);

// VmListClient --------------------------------------------------------------------------------------

struct VmListSettings
{
    std::string url; // http://ip:port
    std::int64_t intervalMs = 500;
    std::int64_t timeoutMs = 2000;
};

class VmListClient
{
public:
    // Called on the thread of the HTTP client; must not block. After a failed read the last list stays in use.
    using Read = std::function<void(core::VmListRead &&)>;
    using Failed = std::function<void(std::string_view reason)>;

    // read is called for the first list and whenever the list has changed. The first read starts at once. http must
    // outlive the client and be stopped before it is destroyed.
    VmListClient(const VmListSettings &settings, net::HttpClient &http, Read read, Failed failed);
    VmListClient(const VmListClient &) = delete;
    VmListClient &operator=(const VmListClient &) = delete;

private:
    void readAfter(std::int64_t delayMs);
    void onResult(const net::HttpResult &result);

    VmListSettings m_settings;
    net::HttpClient &m_http;
    Read m_read;
    Failed m_failed;
    std::string m_tag; // ETag of the last accepted list
};

} // namespace clementinelift::logservice
