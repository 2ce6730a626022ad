#pragma once

#include "key_value/etcd_messages.hpp"
#include "key_value/versioned_value.hpp"
#include "key_value/write_id_cache.hpp"

#include <string>

namespace parsleytrack::key_value::detail
{

/// \returns Whether the key belongs to this product, so that its value is
/// stored in an envelope.
bool has_envelope(const std::string& key);

/// Extracts a value from its envelope and caches its write ids.
///
/// \param ids The cache for the write ids.
/// \returns The value; the unchanged bytes if they are not in an envelope.
versioned_value read_value(const stored_key& entry, write_id_cache& ids);

} // namespace parsleytrack::key_value::detail
