#pragma once

#include <CLI/CLI.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace mulberrywall::support
{

/// Exit codes shared by all binaries; docs/operators.md lists them.
enum class ExitCode : std::uint8_t {
    Success = 0,
    Failure = 1,
    InvalidSettings = 2,
    InvalidConfiguration = 3,
    Conflict = 4,
    Unreachable = 5,
};

[[nodiscard]] constexpr int toInt(ExitCode code) noexcept
{
    return static_cast<int>(code);
}

/// Returns the environment variable of a flag: "--data-centre" gives "MULBERRYWALL_DATA_CENTRE".
std::string environmentName(std::string_view flag);

/// Adds a setting that can be given as a flag or as its environment variable; the flag wins.
template <typename T>
CLI::Option *addSetting(CLI::App &app, const std::string &flag, T &value, const std::string &help)
{
    return app.add_option(flag, value, help)->envname(environmentName(flag))->capture_default_str();
}

/// Adds --version and --check-settings, which every binary has.
void addCommonFlags(CLI::App &app, bool &checkSettings);

/// What a program does with its settings.
struct ProgramActions
{
    /// Checks what single settings cannot show, and reports it on standard error; may be empty.
    std::function<ExitCode()> check;
    /// Returns the process's exit code.
    std::function<int()> run;
};

/// Parses the command line, checks the settings and runs the program.
///
/// Wrong settings are reported on standard error and end in ExitCode::InvalidSettings. With --check-settings the
/// program is not run.
int parseAndRun(CLI::App &app, int argc, char **argv, const bool &checkSettings, const ProgramActions &actions);

/// Does the same for a program whose settings need no check beside their own ones.
int parseAndRun(CLI::App &app, int argc, char **argv, const bool &checkSettings, const std::function<int()> &run);

} // namespace mulberrywall::support
