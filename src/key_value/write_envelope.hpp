#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::key_value
{

/// What the product's own keys hold in the store: a value and the ids of the
/// writes that led to it.
struct write_envelope
{
    /// Ids of the last writes of the key, the newest first. Shorter than
    /// max_write_ids only when the key has had no other write since it was
    /// created.
    std::vector<std::string> write_ids;
    std::string value;
};

/// How many write ids an envelope carries at most.
constexpr std::size_t max_write_ids = 8;

/// \param envelope What is to be stored; its ids hold no space or line feed.
/// \returns The bytes to store.
std::string encode_envelope(const write_envelope& envelope);

/// \param bytes What was stored.
/// \returns The envelope; nothing when the bytes are not one.
std::optional<write_envelope> decode_envelope(std::string_view bytes);

/// \param write_id The id of a new write.
/// \param replaced The ids in the envelope that it replaces.
/// \returns The ids for the new envelope.
std::vector<std::string> extend_write_ids(const std::string& write_id,
                                          std::vector<std::string> replaced);

} // namespace parsleytrack::key_value
