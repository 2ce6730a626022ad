#include "key_value/value_reader.hpp"

#include "key_value/write_envelope.hpp"

#include <utility>

namespace parsleytrack::key_value::detail
{

bool has_envelope(const std::string& key)
{
    return key.starts_with("parsleytrack/");
}

versioned_value read_value(const stored_key& entry, write_id_cache& ids)
{
    if (!has_envelope(entry.key))
    {
        return versioned_value{entry.bytes, entry.revision};
    }
    auto envelope = decode_envelope(entry.bytes);
    if (!envelope)
    {
        // Written by another program, such as the platform's own tool.
        ids.remember(entry.key, entry.revision, {});
        return versioned_value{entry.bytes, entry.revision};
    }
    ids.remember(entry.key, entry.revision, std::move(envelope->write_ids));
    return versioned_value{std::move(envelope->value), entry.revision};
}

} // namespace parsleytrack::key_value::detail
