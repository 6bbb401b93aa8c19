#pragma once

#include "mulberrywall/Router/RouterProgram.h"

#include <string>

namespace mulberrywall::router
{

/// Runs the router on the users' platform with the settings file at the given path. Returns the exit code of the process.
int runNodeProgram(const RouterProgram &program, const std::string &nodeFile, int argc, char **argv);

} // namespace mulberrywall::router
