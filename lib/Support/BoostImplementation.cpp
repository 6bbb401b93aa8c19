// Holds the compiled part of Asio and Beast, so that other translation units need not repeat it.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
