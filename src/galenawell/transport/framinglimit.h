// Limit of the bytes of an HTTP message besides its body, for messages in either direction.
#pragma once

#include <cstddef>

namespace Galenawell {

// Head, interim replies, chunk headers and trailers. Bodies in small chunks need several bytes for each byte of the body.
inline constexpr std::size_t maximumFramingBytes = std::size_t(64) * 1024;
inline constexpr std::size_t maximumFramingPerBodyByte = 8;

inline bool framingWithinLimit(std::size_t receivedBytes, std::size_t bodyBytes)
{
    return receivedBytes <= maximumFramingBytes + (1 + maximumFramingPerBodyByte) * bodyBytes;
}

} // namespace Galenawell
