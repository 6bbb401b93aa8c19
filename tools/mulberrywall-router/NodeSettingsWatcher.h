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

/// Reloads the settings file on SIGHUP and when its modification time changes.
///
/// Settings that other processes rely on, such as listen addresses, are fixed until the process ends. An invalid file is
/// logged and otherwise ignored.
class NodeSettingsWatcher : public std::enable_shared_from_this<NodeSettingsWatcher>
{
public:
    using ApplySettings = std::function<void(const platform::NodeSettings &)>;

    /// Takes the settings that the process was started with. Calls applySettings whenever the reloaded settings differ from
    /// the previous ones.
    NodeSettingsWatcher(boost::asio::io_context &context, std::string path, platform::NodeSettings settings, ApplySettings applySettings);

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
    ApplySettings applySettings_;
    std::filesystem::file_time_type lastModified_;
};

} // namespace mulberrywall::router
