#pragma once

#include "feeds/feed_message.hpp"
#include "feeds/feed_request.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::feeds
{

/// Encoding of feed messages. Decoding returns error_code::corrupt_data for
/// malformed input.
std::string encode(const feed_request& request);
result<feed_request> decode_request(std::string_view bytes);

std::string encode(const feed_message& message);
result<feed_message> decode_message(std::string_view bytes);

} // namespace parsleytrack::feeds
