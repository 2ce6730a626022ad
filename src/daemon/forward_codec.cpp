#include "daemon/forward_codec.hpp"

#include "decisions/rendezvous.hpp"
#include "wire/codec.hpp"
#include "wire/generated/gate_types.h"

#include <chrono>

namespace parsleytrack
{

namespace
{

std::vector<wire::header_field> to_wire(const net::http_header_list& headers)
{
    std::vector<wire::header_field> fields;
    for (const auto& [name, value] : headers)
    {
        wire::header_field field;
        field.name = name;
        field.value = value;
        fields.push_back(std::move(field));
    }
    return fields;
}

net::http_header_list from_wire(const std::vector<wire::header_field>& fields)
{
    net::http_header_list headers;
    for (const wire::header_field& field : fields)
    {
        headers.emplace_back(field.name, field.value);
    }
    return headers;
}

wire::replica_load to_wire(const replica_summary& summary)
{
    wire::replica_load load;
    load.slots = static_cast<std::int16_t>(summary.slots);
    load.online_running = static_cast<std::int16_t>(summary.online_running);
    load.batch_running = static_cast<std::int16_t>(summary.batch_running);
    load.online_ahead = static_cast<std::int16_t>(summary.online_ahead);
    load.predicted_ms = static_cast<std::int32_t>(
        to_milliseconds(summary.predicted_first_output));
    load.first_output_ms = static_cast<std::int32_t>(
        to_milliseconds(summary.first_output_latency));
    load.usable = summary.usable;
    return load;
}

replica_summary from_wire(const wire::replica_load& load)
{
    replica_summary summary;
    summary.slots = load.slots;
    summary.online_running = load.online_running;
    summary.batch_running = load.batch_running;
    summary.online_ahead = load.online_ahead;
    summary.predicted_first_output =
        std::chrono::milliseconds(load.predicted_ms);
    summary.first_output_latency =
        std::chrono::milliseconds(load.first_output_ms);
    summary.usable = load.usable;
    return summary;
}

} // namespace

std::string encode_forward_request(const forward_request& request)
{
    wire::forward_order order;
    order.request = request.id.str();
    order.service_name = request.service.str();
    order.replica = request.replica.str();
    order.workspace = request.workspace.str();
    order.method = request.method;
    order.target = request.target;
    order.headers = to_wire(request.headers);
    order.body = request.body;
    order.time_left_ms = to_milliseconds(request.time_left);
    order.attempt = static_cast<std::int32_t>(request.attempt.count());
    order.send_once = request.send_once;
    order.stream = request.stream;
    order.may_pass_back = request.may_pass_back;
    order.prefix_hashes.assign(request.prefix_hashes.begin(),
                               request.prefix_hashes.end());
    return wire::encode(order);
}

result<forward_request> decode_forward_request(std::string_view bytes)
{
    const auto decoded = wire::decode<wire::forward_order>(bytes);
    if (decoded.has_error())
    {
        return decoded.error();
    }
    const wire::forward_order& order = decoded.value();
    forward_request request;
    request.id = request_id(order.request);
    request.service = service_name(order.service_name);
    request.replica = replica_id(order.replica);
    request.workspace = workspace_name(order.workspace);
    request.method = order.method;
    request.target = order.target;
    request.headers = from_wire(order.headers);
    request.body = order.body;
    request.time_left = std::chrono::milliseconds(order.time_left_ms);
    request.attempt = attempt_number(order.attempt);
    request.send_once = order.send_once;
    request.stream = order.stream;
    request.may_pass_back = order.may_pass_back;
    request.prefix_hashes.assign(order.prefix_hashes.begin(),
                                 order.prefix_hashes.end());
    return request;
}

std::string encode_forward_head(const forward_head& head)
{
    wire::forward_head message;
    message.status = head.status;
    message.headers = to_wire(head.headers);
    message.load = to_wire(head.summary);
    return wire::encode(message);
}

result<forward_head> decode_forward_head(std::string_view bytes)
{
    const auto decoded = wire::decode<wire::forward_head>(bytes);
    if (decoded.has_error())
    {
        return decoded.error();
    }
    return forward_head{decoded.value().status,
                        from_wire(decoded.value().headers),
                        from_wire(decoded.value().load)};
}

std::string
encode_summaries(const std::map<replica_id, replica_summary>& summaries)
{
    wire::replica_load_list list;
    for (const auto& [replica, summary] : summaries)
    {
        wire::replica_load load = to_wire(summary);
        load.replica = replica_hash(replica);
        list.replicas.push_back(load);
    }
    return wire::encode(list);
}

std::map<std::int32_t, replica_summary> decode_summaries(std::string_view bytes)
{
    std::map<std::int32_t, replica_summary> summaries;
    const auto list = wire::decode<wire::replica_load_list>(bytes);
    if (list.has_error())
    {
        return summaries;
    }
    for (const wire::replica_load& load : list.value().replicas)
    {
        summaries[load.replica] = from_wire(load);
    }
    return summaries;
}

std::int32_t replica_hash(const replica_id& replica)
{
    return static_cast<std::int32_t>(rendezvous_score(replica.str(), "gate"));
}

} // namespace parsleytrack
