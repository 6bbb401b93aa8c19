#include "mulberrywall/Support/Settings.h"

#include "mulberrywall/Support/BuildInfo.h"

#include <cctype>
#include <iostream>

namespace mulberrywall::support
{

std::string environmentName(std::string_view flag)
{
    std::string name = "MULBERRYWALL";
    const std::size_t start = flag.find_first_not_of('-');
    name += '_';
    for (const char character : flag.substr(start)) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

void addCommonFlags(CLI::App &app, bool &checkSettings)
{
    app.set_version_flag("--version", describe(buildInfo()));
    app.add_flag("--check-settings", checkSettings, "check the settings, print the result and exit");
}

int parseAndRun(CLI::App &app, int argc, char **argv, const bool &checkSettings, const ProgramActions &actions)
{
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success &success) {
        return app.exit(success);
    } catch (const CLI::ParseError &error) {
        std::cerr << app.get_name() << ": " << error.what() << "; see --help\n";
        return toInt(ExitCode::InvalidSettings);
    }
    if (const ExitCode code = actions.check ? actions.check() : ExitCode::Success; code != ExitCode::Success) {
        return toInt(code);
    }
    if (checkSettings) {
        std::cout << "settings are valid\n";
        return toInt(ExitCode::Success);
    }
    return actions.run();
}

int parseAndRun(CLI::App &app, int argc, char **argv, const bool &checkSettings, const std::function<int()> &run)
{
    return parseAndRun(app, argc, argv, checkSettings, ProgramActions {.run = run});
}

} // namespace mulberrywall::support
