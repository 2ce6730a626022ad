#pragma once

#include "key_value/etcd_messages.hpp"
#include "key_value/versioned_value.hpp"
#include "key_value/write_id_cache.hpp"

#include <string>

namespace parsleytrack::key_value::detail
{

/// \param key Any key.
/// \returns Whether it is the product's own, so that its value carries an
/// envelope.
bool has_envelope(const std::string& key);

/// Takes a value out of its envelope and remembers its write ids.
///
/// \param entry What the store holds.
/// \param ids Where the ids are remembered.
/// \returns The value; the bytes as they are when they hold no envelope.
versioned_value read_value(const stored_key& entry, write_id_cache& ids);

} // namespace parsleytrack::key_value::detail
