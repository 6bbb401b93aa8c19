#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace mulberrywall::support
{

namespace leaf = boost::leaf;

/// Result of an operation that can fail; the error carries at least an ErrorMessage.
template <typename T>
using Result = leaf::result<T>;

/// Message for a person that names what failed and the remedy. Starts in lower case and has no full stop.
struct ErrorMessage
{
    std::string text;
};

/// Position in a file to which an error refers. Line 0 means the whole file.
struct ErrorLocation
{
    std::string file;
    unsigned line = 0;
};

} // namespace mulberrywall::support
