#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::key_value
{

/// The stored form of this product's values: the value and the ids of the
/// writes that led to it.
struct write_envelope
{
    /// Ids of the last writes of the key, newest first. There are fewer than
    /// max_write_ids only if the key has had no other writes since it was
    /// created.
    std::vector<std::string> write_ids;
    std::string value;
};

/// The most write ids in an envelope; older ids are dropped.
constexpr std::size_t max_write_ids = 8;

/// \param envelope Its ids must not contain a space or a line feed.
/// \returns The bytes to store.
std::string encode_envelope(const write_envelope& envelope);

/// \param bytes The stored bytes.
/// \returns The envelope; nothing if the bytes are not an envelope.
std::optional<write_envelope> decode_envelope(std::string_view bytes);

/// \param write_id The id of a new write.
/// \param replaced The ids in the envelope that the write replaces.
/// \returns The ids for the new envelope, newest first.
std::vector<std::string> extend_write_ids(const std::string& write_id,
                                          std::vector<std::string> replaced);

} // namespace parsleytrack::key_value
