// Conversion of endpoints from and to "IP:port", with brackets around an IPv6 address.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace Galenawell {

// Accepts numeric addresses only, by which processes connect to each other. Refuses addresses that identify no single host.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text);

std::string toString(const boost::asio::ip::tcp::endpoint &endpoint);

} // namespace Galenawell
