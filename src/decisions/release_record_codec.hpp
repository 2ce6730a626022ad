#pragma once

#include "decisions/release_record.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace parsleytrack
{

/// \returns The record as JSON.
std::string encode_release_record(const release_record& record);

/// \returns The record; nothing when the text is not one.
std::optional<release_record> decode_release_record(std::string_view text);

/// \returns One accepted note as JSON.
std::string encode_accepted_note(const accepted_note& note);

/// \returns The note; nothing when the text is not one.
std::optional<accepted_note> decode_accepted_note(std::string_view text);

/// \returns The body of the answer to GET /v1/release.
std::string describe_release(const catalogue& contents);

} // namespace parsleytrack
