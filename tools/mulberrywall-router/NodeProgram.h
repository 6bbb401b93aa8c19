#pragma once

#include "mulberrywall/Router/RouterProgram.h"

#include <string>

namespace mulberrywall::router
{

/// Serves on the platform with the settings file at the path; returns the exit code of the process.
int runNodeProgram(const RouterProgram &program, const std::string &nodeFile, int argc, char **argv);

} // namespace mulberrywall::router
