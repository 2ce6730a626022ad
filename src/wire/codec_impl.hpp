#pragma once

// For the .cpp files that define encode() and decode() for their messages;
// not to be included from headers, since it brings Thrift in.

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

/// Bounds what a damaged length field can make the reader allocate.
constexpr std::int32_t max_string_bytes = 64 * 1024 * 1024;
constexpr std::int32_t max_container_elements = 256 * 1024;

/// \param size The size of the message in bytes.
/// \param upper_limit A limit that holds for every message.
/// \returns The limit for lengths and counts in the message: each element
/// takes at least one byte. Never 0, which Thrift takes for "no limit".
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
    // The buffer only reads, but its interface takes a mutable pointer.
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
                     std::string("a message cannot be read: ") + failure.what(),
                     ran_state::no,
                     {}};
    }
    return message;
}

/// Defines encode() and decode() for one message.
#define PARSLEYTRACK_DEFINE_CODEC(Message)                                     \
    template std::string encode<Message>(const Message&);                      \
    template result<Message> decode<Message>(std::string_view);

} // namespace parsleytrack::wire
