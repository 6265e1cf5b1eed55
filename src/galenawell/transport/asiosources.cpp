// Compiles the sources of Asio and Beast once, which shortens the compilation of the other files.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
