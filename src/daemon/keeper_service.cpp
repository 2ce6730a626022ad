#include "daemon/keeper_service.hpp"

#include "units/wall_clock.hpp"
#include "wire/codec.hpp"
#include "wire/generated/storage_types.h"

#include <memory>
#include <utility>

namespace parsleytrack
{

namespace
{

using exchange_pointer = std::shared_ptr<wire::peer_exchange>;

constexpr std::size_t max_records = 2000;

/// Registers a handler for one kind of message.
///
/// \tparam Request The message.
/// \param answer Makes the answer's bytes from the message.
template <class Request, class Answer>
void serve(node_context& node, wire::message_type type, Answer answer)
{
    node.peers.on_call(
        type,
        [answer = std::move(answer)](const exchange_pointer& exchange)
        {
            const result<Request> request =
                wire::decode<Request>(exchange->request());
            if (request.has_error())
            {
                exchange->fail(request.error());
                return;
            }
            const result<std::string> reply = answer(request.value());
            if (reply.has_error())
            {
                exchange->fail(reply.error());
                return;
            }
            exchange->finish(reply.value());
        });
}

result<std::string> empty_reply(const result<bool>& outcome)
{
    if (outcome.has_error())
    {
        return outcome.error();
    }
    return std::string();
}

result<std::string> copy_list(const storage::segment_store& store,
                              const std::string& prefix)
{
    const auto found = store.list_records(prefix, "", max_records);
    if (found.has_error())
    {
        return found.error();
    }
    wire::record_copy_list reply;
    for (const storage::kept_record& record : found.value())
    {
        wire::record_copy copy;
        copy.name = record.name;
        copy.version = record.version;
        copy.bytes = record.bytes;
        reply.records.push_back(std::move(copy));
    }
    return wire::encode(reply);
}

} // namespace

keeper_service::keeper_service(node_context& node,
                               storage::segment_store& store)
{
    using wire::message_type;
    serve<wire::segment_content>(
        node, message_type::segment_put,
        [&store](const wire::segment_content& request)
        {
            return empty_reply(store.put(segment_id(request.id), request.bytes,
                                         wall_clock_s()));
        });
    serve<wire::segment_name>(node, message_type::segment_get,
                              [&store](const wire::segment_name& request)
                              { return store.get(segment_id(request.id)); });
    serve<wire::segment_name>(
        node, message_type::segment_erase,
        [&store](const wire::segment_name& request)
        { return empty_reply(store.erase(segment_id(request.id))); });
    serve<wire::segment_name_list>(
        node, message_type::segment_list,
        [&store](const wire::segment_name_list& request) -> result<std::string>
        {
            wire::segment_name_list missing;
            for (const std::string& id : request.ids)
            {
                if (!store.contains(segment_id(id)))
                {
                    missing.ids.push_back(id);
                }
            }
            return wire::encode(missing);
        });
    serve<wire::record_copy>(
        node, message_type::record_put,
        [&store](const wire::record_copy& request)
        {
            return empty_reply(
                store.put_record({request.name, request.version, request.bytes},
                                 wall_clock_s()));
        });
    serve<wire::record_query>(node, message_type::record_list,
                              [&store](const wire::record_query& request)
                              { return copy_list(store, request.prefix); });
}

} // namespace parsleytrack
