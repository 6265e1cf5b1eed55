#include "galenawell/core/endpoint.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace Galenawell {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc{} || end != text.data() + text.size() || port == 0) {
        return std::nullopt;
    }
    return port;
}

// Peers must be able to connect to the address. A v4-mapped address would be a second spelling of an IPv4 address.
bool isUsable(const boost::asio::ip::address &address)
{
    if (address.is_unspecified() || address.is_multicast()) {
        return false;
    }
    return !address.is_v6() || !address.to_v6().is_v4_mapped();
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    const boost::asio::ip::address address = boost::asio::ip::make_address(host, failure);
    const std::optional<std::uint16_t> port = parsePort(std::string_view(text).substr(colon + 1));
    if (failure || !port || address.is_v6() != bracketed || !isUsable(address) || host.find('%') != std::string::npos) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, *port);
}

std::string toString(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace Galenawell
