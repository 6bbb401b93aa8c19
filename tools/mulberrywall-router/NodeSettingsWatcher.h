#pragma once

#include "platform/NodeSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mulberrywall::router
{

/// Reads the settings file again on SIGHUP and when it has changed.
///
/// What other processes rely on, such as listen addresses, holds until the process ends. A file that cannot be read is
/// logged and changes nothing.
class NodeSettingsWatcher : public std::enable_shared_from_this<NodeSettingsWatcher>
{
public:
    using Apply = std::function<void(const platform::NodeSettings &)>;

    /// The settings are those that the process started with; apply is called for other ones.
    NodeSettingsWatcher(boost::asio::io_context &context, std::string path, platform::NodeSettings settings, Apply apply);

    void start();

private:
    [[nodiscard]] std::filesystem::file_time_type modificationTime() const;
    void waitForSignal();
    void poll();
    void reload(std::string_view cause);

    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    std::string path_;
    platform::NodeSettings settings_;
    Apply apply_;
    std::filesystem::file_time_type modified_;
};

} // namespace mulberrywall::router
