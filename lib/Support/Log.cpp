#include "mulberrywall/Support/Log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <atomic>
#include <iostream>
#include <string>
#include <utility>

namespace mulberrywall::support
{

namespace
{

struct ProcessIdentity
{
    std::string name;
    std::string instance;
};

ProcessIdentity &processIdentity()
{
    static ProcessIdentity identity;
    return identity;
}

std::atomic<Severity> &minimumSeverity()
{
    static std::atomic<Severity> minimum {Severity::Info};
    return minimum;
}

/// Maximum number of lines in the queue of asynchronous delivery.
constexpr std::size_t maxQueuedLines = 4'096;

std::atomic<std::uint64_t> &droppedLines()
{
    static std::atomic<std::uint64_t> count {0};
    return count;
}

// NOLINTBEGIN(readability-identifier-naming): Boost.Log prescribes the names.

/// Overflow strategy that drops and counts the lines for which the queue has no capacity.
struct CountAndDrop
{
    template <typename Lock>
    static bool on_overflow(const boost::log::record_view &, Lock &)
    {
        droppedLines().fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available()
    {
    }
    static void interrupt()
    {
    }
};

// NOLINTEND(readability-identifier-naming)

using Backend = boost::log::sinks::text_ostream_backend;
using SynchronousSink = boost::log::sinks::synchronous_sink<Backend>;
using AsynchronousSink = boost::log::sinks::asynchronous_sink<Backend, boost::log::sinks::bounded_fifo_queue<maxQueuedLines, CountAndDrop>>;

/// The sink whose thread flushLog stops; null with synchronous delivery.
boost::shared_ptr<AsynchronousSink> &asynchronousSink()
{
    static boost::shared_ptr<AsynchronousSink> sink;
    return sink;
}

using Logger = boost::log::sources::severity_logger_mt<Severity>;

Logger &logger()
{
    static Logger instance;
    return instance;
}

std::string_view toString(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "error";
}

std::string currentTime()
{
    return boost::posix_time::to_iso_extended_string(boost::posix_time::microsec_clock::universal_time()) + "Z";
}

} // namespace

void initializeLog(const LogOptions &options)
{
    processIdentity() = {.name = std::string(options.processName), .instance = std::string(options.instance)};
    minimumSeverity() = options.minimum;
    auto backend = boost::make_shared<Backend>();
    std::ostream &output = options.output == LogOutput::StandardOutput ? std::cout : std::cerr;
    backend->add_stream(boost::shared_ptr<std::ostream>(&output, boost::null_deleter()));
    backend->auto_flush(true);
    flushLog();
    switch (options.delivery) {
    case LogDelivery::Synchronous:
        boost::log::core::get()->add_sink(boost::make_shared<SynchronousSink>(backend));
        return;
    case LogDelivery::Asynchronous:
        asynchronousSink() = boost::make_shared<AsynchronousSink>(backend);
        boost::log::core::get()->add_sink(asynchronousSink());
        return;
    }
}

void flushLog()
{
    boost::log::core::get()->remove_all_sinks();
    if (const boost::shared_ptr<AsynchronousSink> sink = std::exchange(asynchronousSink(), nullptr)) {
        sink->stop();
        sink->flush();
    }
}

std::uint64_t droppedLogLines()
{
    return droppedLines().load(std::memory_order_relaxed);
}

void log(Severity severity, std::string_view message, std::initializer_list<LogAttribute> attributes)
{
    if (severity < minimumSeverity().load(std::memory_order_relaxed)) {
        return;
    }
    boost::json::object line;
    line["time"] = currentTime();
    line["severity"] = toString(severity);
    line["process"] = processIdentity().name;
    if (!processIdentity().instance.empty()) {
        line["instance"] = processIdentity().instance;
    }
    line["message"] = message;
    for (const LogAttribute &attribute : attributes) {
        line[attribute.name] = attribute.value;
    }
    BOOST_LOG_SEV(logger(), severity) << boost::json::serialize(line);
}

} // namespace mulberrywall::support
