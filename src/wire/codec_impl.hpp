#pragma once

// For the .cpp files that instantiate encode() and decode() for their messages.
// Must not be included from headers, since it includes Thrift.

#include "wire/codec.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>

namespace parsleytrack::wire
{

namespace detail
{

/// Bounds the memory that the reader allocates for a corrupt length field.
constexpr std::int32_t max_string_bytes = 64 * 1024 * 1024;
constexpr std::int32_t max_container_elements = 256 * 1024;

/// \param size Size of the message in bytes.
/// \param upper_limit The limit for messages of any size.
/// \returns The limit for lengths and counts in the message: each element
/// occupies at least one byte. Never 0, which means "no limit" to Thrift.
inline std::int32_t length_limit(std::size_t size, std::int32_t upper_limit)
{
    return static_cast<std::int32_t>(std::clamp<std::size_t>(
        size, 1, static_cast<std::size_t>(upper_limit)));
}

using apache::thrift::transport::TMemoryBuffer;
using protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

} // namespace detail

template <class Message>
std::string encode(const Message& message)
{
    const auto buffer = std::make_shared<detail::TMemoryBuffer>();
    detail::protocol writer(buffer);
    message.write(&writer);
    return buffer->getBufferAsString();
}

template <class Message>
result<Message> decode(std::string_view bytes)
{
    // TMemoryBuffer only reads the bytes, but requires a mutable pointer.
    auto* data = reinterpret_cast<std::uint8_t*>(
        const_cast<char*>(bytes.data())); // NOLINT
    const auto buffer = std::make_shared<detail::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()));
    detail::protocol reader(
        buffer, detail::length_limit(bytes.size(), detail::max_string_bytes),
        detail::length_limit(bytes.size(), detail::max_container_elements));
    Message message;
    try
    {
        message.read(&reader);
    }
    catch (const std::exception& failure)
    {
        return error{error_code::corrupt_data,
                     std::string("cannot decode message: ") + failure.what(),
                     ran_state::no,
                     {}};
    }
    return message;
}

/// Instantiates encode() and decode() for one message.
#define PARSLEYTRACK_DEFINE_CODEC(Message)                                     \
    template std::string encode<Message>(const Message&);                      \
    template result<Message> decode<Message>(std::string_view);

} // namespace parsleytrack::wire
