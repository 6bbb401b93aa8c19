#pragma once

#include "mulberrywall/Platform/PlatformOptions.h"
#include "mulberrywall/Support/Settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// Commands of mulberrywall-ctl. Each blocks until it ends and returns the exit code of the process.
namespace mulberrywall::control
{

/// Where a command writes its result and its errors.
struct Console
{
    std::ostream &output;
    std::ostream &errors;
};

struct ConfigurationFiles
{
    std::string basePath;
    std::vector<std::string> overlayPaths;
};

enum class SiteRemoval : std::uint8_t {
    /// A site that the head has and the files lack is an error, since an overlay was probably forgotten.
    Reject,
    Allow,
};

struct ApplyOptions
{
    ConfigurationFiles files;
    platform::PlatformOptions platform;
    /// Revision that the files were made against; without it the head at the start of the command counts.
    std::optional<std::uint64_t> basedOn;
    /// Id of a push whose outcome is to be settled; empty for a new one.
    std::string pushId;
    SiteRemoval siteRemoval = SiteRemoval::Reject;
    std::chrono::milliseconds timeout {5'000};
};

struct DiffOptions
{
    ConfigurationFiles files;
    platform::PlatformOptions platform;
};

/// Admin listeners of routers and how to call them.
struct RouterAdminOptions
{
    std::vector<boost::asio::ip::tcp::endpoint> routers;
    std::string operatorKey;
    std::chrono::milliseconds timeout {2'000};
};

enum class StatusWaitMode : std::uint8_t {
    ReportOnce,
    UntilActive,
};

struct StatusOptions
{
    RouterAdminOptions routers;
    /// Without a platform and a revision the highest revision of the routers is expected of all.
    std::optional<platform::PlatformOptions> platform;
    std::optional<std::uint64_t> revision;
    StatusWaitMode waiting = StatusWaitMode::ReportOnce;
    /// Longest time to wait for all routers.
    std::chrono::milliseconds waitTimeout {8'000};
};

struct DrainOptions
{
    RouterAdminOptions routers;
    std::string endpoint;
};

/// Checks the files. Returns Success or InvalidConfiguration.
support::ExitCode validate(const ConfigurationFiles &files, const Console &console);

/// Prints what the files change in the revision in force. Returns Success, InvalidConfiguration or Unreachable.
support::ExitCode diff(const DiffOptions &options, const Console &console);

/// Makes the files the next revision. Returns Success (also when nothing changes), InvalidConfiguration, Conflict with
/// a diff against the revision that won, Unreachable when nothing was applied, or Failure when the outcome is unknown;
/// the message then names the push id that settles it.
support::ExitCode apply(const ApplyOptions &options, const Console &console);

/// Prints the revision in force at each router. Returns Success when all have the expected revision, Failure when one
/// has an older one, or Unreachable when one does not answer.
support::ExitCode status(const StatusOptions &options, const Console &console);

/// Tells the routers that an endpoint leaves. Returns Success when at least one accepted it, since routers pass it on,
/// Failure when all that answered refused it, or Unreachable when none answered.
support::ExitCode drain(const DrainOptions &options, const Console &console);

} // namespace mulberrywall::control
