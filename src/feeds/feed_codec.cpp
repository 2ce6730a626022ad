#include "feeds/feed_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/feed_types.h"

#include <algorithm>
#include <cstdint>

namespace parsleytrack::feeds
{

namespace
{

wire::feed_part_kind::type to_wire(feed_message::kind what)
{
    switch (what)
    {
    case feed_message::kind::all:
        return wire::feed_part_kind::all;
    case feed_message::kind::changes:
        return wire::feed_part_kind::changes;
    case feed_message::kind::failing:
        return wire::feed_part_kind::failing;
    case feed_message::kind::last_known:
        return wire::feed_part_kind::last_known;
    case feed_message::kind::unchanged:
        break;
    }
    return wire::feed_part_kind::unchanged;
}

/// An unknown kind maps to failing, so that the subscriber switches to another
/// source.
feed_message::kind from_wire(wire::feed_part_kind::type what)
{
    switch (what)
    {
    case wire::feed_part_kind::all:
        return feed_message::kind::all;
    case wire::feed_part_kind::changes:
        return feed_message::kind::changes;
    case wire::feed_part_kind::unchanged:
        return feed_message::kind::unchanged;
    case wire::feed_part_kind::last_known:
        return feed_message::kind::last_known;
    case wire::feed_part_kind::failing:
        break;
    }
    return feed_message::kind::failing;
}

} // namespace

std::string encode(const feed_request& request)
{
    wire::feed_question wire_message;
    wire_message.prefix = request.prefix;
    wire_message.position = request.position.count();
    return wire::encode(wire_message);
}

result<feed_request> decode_request(std::string_view bytes)
{
    const auto wire_message = wire::decode<wire::feed_question>(bytes);
    if (wire_message.has_error())
    {
        return wire_message.error();
    }
    return feed_request{wire_message.value().prefix,
                        store_revision(wire_message.value().position)};
}

std::string encode(const feed_message& message)
{
    wire::feed_part wire_message;
    wire_message.kind = to_wire(message.what);
    wire_message.position = message.position.count();
    if (message.age)
    {
        wire_message.__set_age_ms(to_milliseconds(*message.age));
    }
    for (const key_value::record_change& change : message.records)
    {
        wire::feed_record record;
        record.key = change.record.key;
        record.value = change.record.value;
        record.revision = change.record.revision.count();
        record.deleted = change.deleted;
        wire_message.records.push_back(std::move(record));
    }
    return wire::encode(wire_message);
}

result<feed_message> decode_message(std::string_view bytes)
{
    const auto wire_message = wire::decode<wire::feed_part>(bytes);
    if (wire_message.has_error())
    {
        return wire_message.error();
    }
    feed_message message;
    message.what = from_wire(wire_message.value().kind);
    message.position = store_revision(wire_message.value().position);
    if (wire_message.value().__isset.age_ms)
    {
        message.age = std::chrono::milliseconds(
            std::max<std::int64_t>(wire_message.value().age_ms, 0));
    }
    for (const wire::feed_record& record : wire_message.value().records)
    {
        message.records.push_back(key_value::record_change{
            key_value::stored_record{record.key, record.value,
                                     store_revision(record.revision)},
            record.deleted});
    }
    return message;
}

} // namespace parsleytrack::feeds
