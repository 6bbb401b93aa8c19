// Compiles the non-header parts of Asio and Beast once for all translation units.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
