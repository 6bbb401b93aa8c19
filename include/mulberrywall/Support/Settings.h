#pragma once

#include <CLI/CLI.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace mulberrywall::support
{

/// Exit codes of all programs, as listed in docs/operators.md.
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

/// Returns the name of the environment variable of a flag, such as "MULBERRYWALL_DATA_CENTRE" for "--data-centre".
std::string environmentName(std::string_view flag);

/// Adds a setting that can be given as a flag or as an environment variable. The flag overrides the variable.
template <typename T>
CLI::Option *addSetting(CLI::App &app, const std::string &flag, T &value, const std::string &help)
{
    return app.add_option(flag, value, help)->envname(environmentName(flag))->capture_default_str();
}

/// Adds --version and --check-settings, which all programs have.
void addCommonFlags(CLI::App &app, bool &checkSettings);

/// Actions of a program after its settings were parsed.
struct ProgramActions
{
    /// Checks constraints between several settings and prints violations to standard error. May be empty.
    std::function<ExitCode()> check;
    /// Runs the program and returns the exit code of the process.
    std::function<int()> run;
};

/// Parses the command line, checks the settings and runs the program.
///
/// Returns the exit code of the process. Invalid settings are printed to standard error and give
/// ExitCode::InvalidSettings. With --check-settings the program is not run.
int parseAndRun(CLI::App &app, int argc, char **argv, const bool &checkSettings, const ProgramActions &actions);

/// Overload for a program without constraints between settings.
int parseAndRun(CLI::App &app, int argc, char **argv, const bool &checkSettings, const std::function<int()> &run);

} // namespace mulberrywall::support
