#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace mulberrywall::support
{

namespace leaf = boost::leaf;

/// Result of an operation that can fail; the error carries at least an ErrorMessage.
template <typename T>
using Result = leaf::result<T>;

/// Explains a failure to a person: lower case, no full stop, names the thing and the remedy.
struct ErrorMessage
{
    std::string text;
};

/// Names the position in a file that an error is about; line 0 means the whole file.
struct ErrorLocation
{
    std::string file;
    unsigned line = 0;
};

} // namespace mulberrywall::support
