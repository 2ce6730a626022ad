#include "daemon/once_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/once_types.h"

#include <utility>

namespace parsleytrack
{

namespace
{

wire::once_record to_wire(const once_entry& entry)
{
    wire::once_record record;
    record.fingerprint = entry.fingerprint;
    record.claim = static_cast<std::int64_t>(entry.claim);
    record.holder = entry.holder.str();
    record.created_s = entry.created_s;
    record.stage = static_cast<std::int32_t>(entry.state);
    record.status = entry.status;
    record.content_type = entry.content_type;
    record.body = entry.body;
    record.segment = entry.body_segment.segment.str();
    for (const node_id& holder : entry.body_segment.holders)
    {
        record.segment_holders.push_back(holder.str());
    }
    return record;
}

once_entry from_wire(const wire::once_record& record)
{
    once_entry entry;
    entry.fingerprint = record.fingerprint;
    entry.claim = static_cast<std::uint64_t>(record.claim);
    entry.holder = node_id(record.holder);
    entry.created_s = record.created_s;
    entry.state = static_cast<once_entry::stage>(record.stage);
    entry.status = record.status;
    entry.content_type = record.content_type;
    entry.body = record.body;
    entry.body_segment.segment = segment_id(record.segment);
    for (const std::string& holder : record.segment_holders)
    {
        entry.body_segment.holders.emplace_back(holder);
    }
    return entry;
}

} // namespace

std::string encode_once_page(const once_page& page)
{
    wire::once_page message;
    for (const auto& [key, entry] : page.entries)
    {
        message.entries[key] = to_wire(entry);
    }
    return wire::encode(message);
}

result<once_page> decode_once_page(std::string_view bytes)
{
    const auto message = wire::decode<wire::once_page>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    once_page page;
    for (const auto& [key, record] : message.value().entries)
    {
        page.entries[key] = from_wire(record);
    }
    return page;
}

std::string encode_once_operation(const once_operation& operation)
{
    wire::once_request message;
    message.kind = static_cast<std::int32_t>(operation.what);
    message.key = operation.key;
    message.entry = to_wire(operation.entry);
    return wire::encode(message);
}

result<once_operation> decode_once_operation(std::string_view bytes)
{
    const auto message = wire::decode<wire::once_request>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    once_operation operation;
    operation.what = static_cast<once_operation::kind>(message.value().kind);
    operation.key = message.value().key;
    operation.entry = from_wire(message.value().entry);
    return operation;
}

std::string encode_once_outcome(const once_outcome& outcome)
{
    wire::once_reply message;
    message.kind = static_cast<std::int32_t>(outcome.what);
    message.entry = to_wire(outcome.entry);
    return wire::encode(message);
}

result<once_outcome> decode_once_outcome(std::string_view bytes)
{
    const auto message = wire::decode<wire::once_reply>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    once_outcome outcome;
    outcome.what = static_cast<once_outcome::kind>(message.value().kind);
    outcome.entry = from_wire(message.value().entry);
    return outcome;
}

} // namespace parsleytrack
