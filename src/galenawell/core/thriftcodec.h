// Encodes Thrift structs in the compact protocol. Bytes that can't be decoded yield MalformedFrame.
#pragma once

#include "galenawell/core/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace Galenawell {

// Maximum size of a frame between processes; larger ones are refused before memory is allocated for them.
inline constexpr std::uint32_t maximumFrameBytes = std::uint32_t(4) * 1024 * 1024;

template<typename Struct>
std::string encodeThrift(const Struct &value)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

// The bytes must hold exactly one struct; unknown fields are ignored. Strings and containers with a declared size above
// `limit` bytes are refused.
template<typename Struct>
Result<Struct> decodeThrift(std::string_view bytes, int limit = static_cast<int>(maximumFrameBytes))
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        // TMemoryBuffer in OBSERVE mode takes a mutable pointer but only reads through it.
        auto *start = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        const auto configuration = std::make_shared<apache::thrift::TConfiguration>(limit);
        const auto buffer
            = std::make_shared<TMemoryBuffer>(start, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration);
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
        Struct value;
        value.read(&protocol);
        if (buffer->available_read() != 0) {
            return makeError(ErrorKind::MalformedFrame, std::to_string(buffer->available_read()) + " bytes follow a record");
        }
        return value;
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::MalformedFrame, std::string("a record can't be read: ") + exception.what());
    }
}

} // namespace Galenawell
