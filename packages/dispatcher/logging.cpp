#include "dispatcher/logging.h"

#include <absl/container/flat_hash_map.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/common.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <optional>

namespace clementinelift::dispatcher {

namespace {

using core::NoticeLevel;
using Clock = std::chrono::steady_clock;

constexpr std::size_t maxLineKinds = 1000; // bounds the memory of RepeatLimit
constexpr auto repeatWindow = std::chrono::seconds(1);

constexpr std::size_t outputQueueLines = 2000; // about 600 KB
constexpr std::size_t maxLineBytes = 2048;     // texts of callers have up to 16 KB

using OutputSink = boost::log::sinks::asynchronous_sink<
        boost::log::sinks::text_ostream_backend,
        boost::log::sinks::bounded_fifo_queue<outputQueueLines, boost::log::sinks::drop_on_overflow>>;

std::atomic<NoticeLevel> minLevel = NoticeLevel::Info;
std::atomic<std::uint32_t> repeatsPerS = maxRepeatsPerS;
boost::shared_ptr<OutputSink> outputSink;

struct Repeats
{
    Clock::time_point since;
    std::uint32_t written = 0;
    std::uint32_t dropped = 0;
};

// Limits the rate of lines of one kind: same part and same text up to the first '='.
class RepeatLimit
{
public:
    // Returns the number of lines of this kind dropped since the last written one, or nullopt if this line must be
    // dropped.
    std::optional<std::uint32_t> admit(std::string_view part, std::string_view text)
    {
        const std::string_view sentence = text.substr(0, text.find('='));
        const std::lock_guard lock(m_mutex);
        if (m_kinds.size() >= maxLineKinds)
            m_kinds.clear();
        Repeats &repeats = m_kinds[std::string(part).append(1, ':').append(sentence)];
        const auto now = Clock::now();
        std::uint32_t dropped = 0;
        if (now - repeats.since >= repeatWindow) {
            dropped = repeats.dropped;
            repeats = {now, 0, 0};
        }
        if (repeats.written >= repeatsPerS) {
            ++repeats.dropped;
            return std::nullopt;
        }
        ++repeats.written;
        return dropped;
    }

private:
    std::mutex m_mutex;
    absl::flat_hash_map<std::string, Repeats> m_kinds;
};

boost::log::trivial::severity_level toSeverity(NoticeLevel level)
{
    switch (level) {
    case NoticeLevel::Debug:
        return boost::log::trivial::debug;
    case NoticeLevel::Info:
        return boost::log::trivial::info;
    case NoticeLevel::Warning:
        return boost::log::trivial::warning;
    case NoticeLevel::Error:
        break;
    }
    return boost::log::trivial::error;
}

// Prevents names and texts from other systems from starting a new log line.
std::string replaceControlCharacters(std::string_view text)
{
    std::string plain(text);
    for (char &c : plain) {
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            c = '?';
    }
    return plain;
}

auto makeFormat()
{
    namespace expr = boost::log::expressions;
    return expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ") << ' '
                        << boost::log::trivial::severity << ' ' << expr::attr<std::string>("Channel") << ": "
                        << expr::smessage;
}

} // namespace

void initLogging(NoticeLevel level)
{
    minLevel = level;
    boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format = makeFormat());
}

void initOutputLogging(NoticeLevel level)
{
    minLevel = level;
    repeatsPerS = maxOutputRepeatsPerS;
    boost::log::core::get()->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
    const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    outputSink = boost::make_shared<OutputSink>(backend);
    outputSink->set_formatter(makeFormat());
    boost::log::core::get()->add_sink(outputSink);
}

void stopLogging()
{
    if (outputSink == nullptr)
        return;
    boost::log::core::get()->remove_sink(outputSink);
    outputSink->stop();
    outputSink->flush();
    outputSink.reset();
}

void log(NoticeLevel level, std::string_view part, std::string_view text)
{
    static RepeatLimit limit;
    if (level < minLevel)
        return;
    const auto dropped = limit.admit(part, text);
    if (!dropped)
        return;
    std::string line = replaceControlCharacters(text.substr(0, maxLineBytes));
    if (*dropped > 0)
        line += " repeats_dropped=" + std::to_string(*dropped);
    boost::log::sources::severity_channel_logger<boost::log::trivial::severity_level> logger(
            boost::log::keywords::channel = std::string(part));
    BOOST_LOG_SEV(logger, toSeverity(level)) << line;
}

} // namespace clementinelift::dispatcher
