#include "feeds/feed_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/feed_types.h"

namespace parsleytrack::feeds
{

namespace
{

wire::feed_part_kind::type to_wire(feed_part::kind what)
{
    switch (what)
    {
    case feed_part::kind::all:
        return wire::feed_part_kind::all;
    case feed_part::kind::changes:
        return wire::feed_part_kind::changes;
    case feed_part::kind::failing:
        return wire::feed_part_kind::failing;
    case feed_part::kind::unchanged:
        break;
    }
    return wire::feed_part_kind::unchanged;
}

/// An unknown kind is taken for trouble, so that the receiver asks elsewhere.
feed_part::kind from_wire(wire::feed_part_kind::type what)
{
    switch (what)
    {
    case wire::feed_part_kind::all:
        return feed_part::kind::all;
    case wire::feed_part_kind::changes:
        return feed_part::kind::changes;
    case wire::feed_part_kind::unchanged:
        return feed_part::kind::unchanged;
    case wire::feed_part_kind::failing:
        break;
    }
    return feed_part::kind::failing;
}

} // namespace

std::string encode(const feed_question& question)
{
    wire::feed_question message;
    message.prefix = question.prefix;
    message.position = question.position.count();
    return wire::encode(message);
}

result<feed_question> decode_question(std::string_view bytes)
{
    const auto message = wire::decode<wire::feed_question>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    return feed_question{message.value().prefix,
                         store_revision(message.value().position)};
}

std::string encode(const feed_part& part)
{
    wire::feed_part message;
    message.kind = to_wire(part.what);
    message.position = part.position.count();
    for (const key_value::record_change& change : part.records)
    {
        wire::feed_record record;
        record.key = change.record.key;
        record.value = change.record.value;
        record.revision = change.record.revision.count();
        record.deleted = change.deleted;
        message.records.push_back(std::move(record));
    }
    return wire::encode(message);
}

result<feed_part> decode_part(std::string_view bytes)
{
    const auto message = wire::decode<wire::feed_part>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    feed_part part;
    part.what = from_wire(message.value().kind);
    part.position = store_revision(message.value().position);
    for (const wire::feed_record& record : message.value().records)
    {
        part.records.push_back(key_value::record_change{
            key_value::stored_record{record.key, record.value,
                                     store_revision(record.revision)},
            record.deleted});
    }
    return part;
}

} // namespace parsleytrack::feeds
