#pragma once

#include "mulberrywall/Support/Log.h"

#include <exception>
#include <string_view>

namespace mulberrywall::support
{

/// Calls the function and returns true, or logs an exception that it throws and returns false.
///
/// For steps of a loop that must continue after one message causes an unexpected exception: without this, the loop ends
/// although the process goes on. Expected errors are return values.
template <typename Function>
bool logExceptions(std::string_view operation, Function &&function)
{
    try {
        function();
        return true;
    } catch (const std::exception &error) {
        log(Severity::Error, "unexpected exception; report it as a defect", {{"operation", operation}, {"reason", error.what()}});
        return false;
    }
}

} // namespace mulberrywall::support
