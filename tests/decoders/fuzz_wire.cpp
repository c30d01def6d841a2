// Fuzzes peer messages and log records.
// Guards against crashes and exceptions, and against values that change when they are decoded and encoded again.
#include "net/codec.h"

#include <cstdlib>

using namespace clementinelift;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(*-identifier-naming)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (const auto message = net::decodePeerMessage(bytes)) {
        const std::string written = net::encodePeerMessage(*message);
        const auto again = net::decodePeerMessage(written);
        if (!again || net::encodePeerMessage(*again) != written)
            std::abort();
    }
    if (const auto body = net::decodeLogBody(bytes)) {
        const std::string written = net::encodeLogBody(*body);
        const auto again = net::decodeLogBody(written);
        if (!again || net::encodeLogBody(*again) != written)
            std::abort();
    }
    return 0;
}
