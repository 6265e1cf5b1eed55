// One header field of an HTTP message, and case-insensitive comparison of names.
#pragma once

#include "galenawell/transport/asio.h"

#include <string>
#include <string_view>
#include <vector>

namespace Galenawell {

struct HttpHeader
{
    std::string name;
    std::string value;
};

inline bool sameHeaderName(std::string_view left, std::string_view right)
{
    return Beast::iequals(Beast::string_view(left.data(), left.size()), Beast::string_view(right.data(), right.size()));
}

// Value of the first header with this name; empty if there is none.
inline std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (sameHeaderName(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

// Fields of a Beast message in the order in which they were sent.
template<typename Fields>
std::vector<HttpHeader> copyHeaders(const Fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields) {
        headers.push_back({.name = std::string(field.name_string()), .value = std::string(field.value())});
    }
    return headers;
}

} // namespace Galenawell
