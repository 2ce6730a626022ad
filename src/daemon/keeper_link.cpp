#include "daemon/keeper_link.hpp"

#include "units/wall_clock.hpp"
#include "wire/codec.hpp"
#include "wire/generated/storage_types.h"

#include <utility>

namespace parsleytrack
{

namespace
{

constexpr duration call_timeout = std::chrono::seconds(4);
constexpr std::size_t max_records = 2000;

/// Calls back from the loop, so that local and remote keepers behave alike.
template <class Callback, class Outcome>
void answer_later(node_context& context, Callback callback, Outcome outcome)
{
    context.loop.post(
        [callback = std::move(callback), outcome = std::move(outcome)]() mutable
        { callback(std::move(outcome)); });
}

keeper_link::bytes_callback forward_done(keeper_link::done_callback callback)
{
    return [callback = std::move(callback)](const result<std::string>& answer)
    {
        if (answer.has_error())
        {
            callback(answer.error());
            return;
        }
        callback(true);
    };
}

} // namespace

keeper_link::keeper_link(node_context& node, storage::segment_store* local)
    : context(node), local_store(local), calls(node)
{
}

bool keeper_link::is_local(const node_info& keeper) const
{
    return this->local_store != nullptr &&
           keeper.id == this->context.settings.id;
}

void keeper_link::put(const node_info& keeper, const segment_id& id,
                      const std::string& bytes, done_callback callback)
{
    if (this->is_local(keeper))
    {
        answer_later(this->context, std::move(callback),
                     this->local_store->put(id, bytes, wall_clock_s()));
        return;
    }
    wire::segment_content message;
    message.id = id.str();
    message.bytes = bytes;
    this->calls.call(keeper.peer, wire::message_type::segment_put,
                     wire::encode(message), call_timeout,
                     forward_done(std::move(callback)));
}

void keeper_link::get(const node_info& keeper, const segment_id& id,
                      bytes_callback callback)
{
    if (this->is_local(keeper))
    {
        answer_later(this->context, std::move(callback),
                     this->local_store->get(id));
        return;
    }
    wire::segment_name message;
    message.id = id.str();
    this->calls.call(
        keeper.peer, wire::message_type::segment_get, wire::encode(message),
        call_timeout,
        [id, callback = std::move(callback)](result<std::string> answer)
        {
            if (answer.has_value() &&
                storage::checksum_of(answer.value()) != id)
            {
                callback(error{error_code::corrupt_data,
                               "segment " + id.str() + " arrived damaged",
                               ran_state::no,
                               {}});
                return;
            }
            callback(std::move(answer));
        });
}

void keeper_link::find_missing(const node_info& keeper,
                               const std::vector<segment_id>& ids,
                               missing_callback callback)
{
    wire::segment_name_list message;
    for (const segment_id& id : ids)
    {
        message.ids.push_back(id.str());
    }
    this->calls.call(
        keeper.peer, wire::message_type::segment_list, wire::encode(message),
        call_timeout,
        [callback = std::move(callback)](const result<std::string>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            const auto missing =
                wire::decode<wire::segment_name_list>(answer.value());
            if (missing.has_error())
            {
                callback(missing.error());
                return;
            }
            std::vector<segment_id> names;
            for (const std::string& name : missing.value().ids)
            {
                names.emplace_back(name);
            }
            callback(std::move(names));
        });
}

void keeper_link::put_record(const node_info& keeper,
                             const storage::kept_record& record,
                             done_callback callback)
{
    if (this->is_local(keeper))
    {
        answer_later(this->context, std::move(callback),
                     this->local_store->put_record(record, wall_clock_s()));
        return;
    }
    wire::record_copy message;
    message.name = record.name;
    message.version = record.version;
    message.bytes = record.bytes;
    this->calls.call(keeper.peer, wire::message_type::record_put,
                     wire::encode(message), call_timeout,
                     forward_done(std::move(callback)));
}

void keeper_link::list_records(const node_info& keeper,
                               const std::string& prefix,
                               records_callback callback)
{
    if (this->is_local(keeper))
    {
        answer_later(this->context, std::move(callback),
                     this->local_store->list_records(prefix, "", max_records));
        return;
    }
    wire::record_query message;
    message.prefix = prefix;
    this->calls.call(
        keeper.peer, wire::message_type::record_list, wire::encode(message),
        call_timeout,
        [callback = std::move(callback)](const result<std::string>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            const auto copies =
                wire::decode<wire::record_copy_list>(answer.value());
            if (copies.has_error())
            {
                callback(copies.error());
                return;
            }
            std::vector<storage::kept_record> records;
            for (const wire::record_copy& copy : copies.value().records)
            {
                records.push_back({copy.name, copy.version, copy.bytes});
            }
            callback(std::move(records));
        });
}

} // namespace parsleytrack
