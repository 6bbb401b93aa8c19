#include "NodeSettingsWatcher.h"

#include "mulberrywall/Support/Log.h"
#include "mulberrywall/Support/LogExceptions.h"

#include <csignal>
#include <utility>

namespace mulberrywall::router
{

static constexpr std::chrono::seconds pollInterval {1};

NodeSettingsWatcher::NodeSettingsWatcher(boost::asio::io_context &context, std::string path, platform::NodeSettings settings, ApplySettings applySettings)
    : signals_(context, SIGHUP),
      timer_(context),
      path_(std::move(path)),
      settings_(std::move(settings)),
      applySettings_(std::move(applySettings)),
      lastModified_(modificationTime())
{
}

void NodeSettingsWatcher::start()
{
    waitForSignal();
    poll();
}

std::filesystem::file_time_type NodeSettingsWatcher::modificationTime() const
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path_, error);
    return error ? std::filesystem::file_time_type::min() : time;
}

void NodeSettingsWatcher::waitForSignal()
{
    signals_.async_wait([self = shared_from_this()](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        support::logExceptions("reload settings", [&] { self->reload("signal"); });
        self->waitForSignal();
    });
}

void NodeSettingsWatcher::poll()
{
    timer_.expires_after(pollInterval);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (self->modificationTime() != self->lastModified_) {
            support::logExceptions("reload settings", [&] { self->reload("file changed"); });
        }
        self->poll();
    });
}

void NodeSettingsWatcher::reload(std::string_view cause)
{
    lastModified_ = modificationTime();
    auto read = platform::readNodeFile(path_);
    if (const auto *error = std::get_if<platform::NodeSettingsError>(&read)) {
        support::log(
            support::Severity::Error, "could not reload the settings file; keeping the previous settings", {{"cause", cause}, {"reason", error->text}});
        return;
    }
    const bool changed = std::get<platform::NodeSettings>(read) != settings_;
    settings_ = std::get<platform::NodeSettings>(std::move(read));
    support::log(support::Severity::Info, "reloaded the settings file", {{"cause", cause}, {"changed", changed}});
    if (changed) {
        applySettings_(settings_);
    }
}

} // namespace mulberrywall::router
