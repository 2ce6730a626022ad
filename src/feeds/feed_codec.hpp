#pragma once

#include "feeds/feed_part.hpp"
#include "feeds/feed_question.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::feeds
{

/// Bytes of the messages of a feed. Reading gives error_code::corrupt_data for
/// what cannot be read.
std::string encode(const feed_question& question);
result<feed_question> decode_question(std::string_view bytes);

std::string encode(const feed_part& part);
result<feed_part> decode_part(std::string_view bytes);

} // namespace parsleytrack::feeds
