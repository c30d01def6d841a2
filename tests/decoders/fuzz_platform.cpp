// Fuzzes the responses of the log service and the VM list.
// Guards against crashes and exceptions, and against records out of order.
#include "logservice/log_client.h"
#include "logservice/vm_list_client.h"

#include <cstdlib>

using namespace clementinelift;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(*-identifier-naming)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    for (const core::Stream stream : {core::Stream::Ownership, core::Stream::Config}) {
        const auto page = logservice::decodeLogPage(stream, 3, text);
        std::int64_t last = 2;
        for (std::size_t i = 0; page && i < page->records.size(); ++i) {
            if (page->records[i].offset <= last)
                std::abort();
            last = page->records[i].offset;
        }
    }
    (void)logservice::decodeVmList(text);
    (void)logservice::decodeAppend(core::AppendId{1}, {net::HttpOutcome::Answered, 200, {}, std::string(text), {}});
    return 0;
}
