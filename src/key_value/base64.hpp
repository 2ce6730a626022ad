#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace parsleytrack::key_value
{

/// \returns The bytes in base64, with padding.
std::string encode_base64(std::string_view bytes);

/// \param text Base64, with or without padding.
/// \returns The decoded bytes; nothing when the text is not base64.
std::optional<std::string> decode_base64(std::string_view text);

} // namespace parsleytrack::key_value
