#pragma once

#include "mulberrywall/BackingServices/BackingServiceOptions.h"
#include "mulberrywall/Support/Settings.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// Commands of mulberrywall-ctl. Each command blocks until it is complete and returns the exit code of the process.
namespace mulberrywall::control
{

/// Output streams of a command.
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
    /// A site that is in the active revision but not in the files is an error, since an overlay was probably forgotten.
    Reject,
    Allow,
};

struct ApplyOptions
{
    ConfigurationFiles files;
    backingservices::BackingServiceOptions platform;
    /// Revision on which the files are based. If unset, it is the revision that is active at the start of the command.
    std::optional<std::uint64_t> basedOn;
    /// Id of an earlier push whose outcome is unknown; empty for a new push.
    std::string pushId;
    SiteRemoval siteRemoval = SiteRemoval::Reject;
    std::chrono::milliseconds timeout {5'000};
};

struct DiffOptions
{
    ConfigurationFiles files;
    backingservices::BackingServiceOptions platform;
};

/// Admin listeners of the routers, and the options of requests to them.
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
    /// Source of the expected revision if revision is unset. If neither is set, all routers must have the highest revision
    /// that any of them has.
    std::optional<backingservices::BackingServiceOptions> platform;
    std::optional<std::uint64_t> revision;
    StatusWaitMode waiting = StatusWaitMode::ReportOnce;
    /// Maximum time to wait until all routers have the expected revision.
    std::chrono::milliseconds waitTimeout {8'000};
};

struct DrainOptions
{
    RouterAdminOptions routers;
    std::string endpoint;
};

/// Validates the files. Returns Success or InvalidConfiguration.
support::ExitCode validate(const ConfigurationFiles &files, const Console &console);

/// Prints the changes that the files make to the active revision. Returns Success, InvalidConfiguration or Unreachable.
support::ExitCode diff(const DiffOptions &options, const Console &console);

/// Pushes the files as the next revision. Returns Success (also if nothing changes), InvalidConfiguration, Conflict after
/// printing a diff against the active revision, Unreachable if nothing was applied, or Failure if the outcome is unknown.
/// In the last case, the error message contains the push id with which the command must be repeated.
support::ExitCode apply(const ApplyOptions &options, const Console &console);

/// Prints the active revision of each router. Returns Success if all have the expected revision or a higher one, Failure
/// if one has an older revision, or Unreachable if one does not respond with its status.
support::ExitCode status(const StatusOptions &options, const Console &console);

/// Announces to the routers that an endpoint leaves. Returns Success if at least one router accepted the announcement,
/// since routers forward it to each other, Failure if all routers that responded rejected it, or Unreachable if none
/// responded.
support::ExitCode drain(const DrainOptions &options, const Console &console);

} // namespace mulberrywall::control
