#include "NodeSettingsWatcher.h"

#include "mulberrywall/Support/Log.h"

#include <csignal>
#include <utility>

namespace mulberrywall::router
{

static constexpr std::chrono::seconds pollInterval {1};

NodeSettingsWatcher::NodeSettingsWatcher(boost::asio::io_context &context, std::string path, platform::NodeSettings settings, Apply apply)
    : signals_(context, SIGHUP),
      timer_(context),
      path_(std::move(path)),
      settings_(std::move(settings)),
      apply_(std::move(apply)),
      modified_(modificationTime())
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
        self->reload("signal");
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
        if (self->modificationTime() != self->modified_) {
            self->reload("file changed");
        }
        self->poll();
    });
}

void NodeSettingsWatcher::reload(std::string_view cause)
{
    modified_ = modificationTime();
    auto read = platform::readNodeFile(path_);
    if (const auto *problem = std::get_if<platform::NodeSettingsError>(&read)) {
        support::log(support::Severity::Error, "settings not reloaded; the old ones stay in force", {{"cause", cause}, {"reason", problem->text}});
        return;
    }
    const bool changed = std::get<platform::NodeSettings>(read) != settings_;
    settings_ = std::get<platform::NodeSettings>(std::move(read));
    support::log(support::Severity::Info, "settings reloaded", {{"cause", cause}, {"changed", changed}});
    if (changed) {
        apply_(settings_);
    }
}

} // namespace mulberrywall::router
