#pragma once

#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::wire
{

/// Serializes a message with Thrift's compact protocol. Instantiated for the
/// messages that the *_codec.cpp files name.
///
/// \tparam Message A struct from the generated code.
template <class Message>
std::string encode(const Message& message);

/// Deserializes a message from Thrift's compact protocol.
///
/// \tparam Message A struct from the generated code.
/// \returns The message, or error_code::corrupt_data.
template <class Message>
result<Message> decode(std::string_view bytes);

} // namespace parsleytrack::wire
