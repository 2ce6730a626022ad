#include "relay/slot_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/slots_types.h"

namespace parsleytrack::relay
{

namespace
{

wire::slot_verdict::type to_wire(slot_answer::verdict what)
{
    switch (what)
    {
    case slot_answer::verdict::queued:
        return wire::slot_verdict::queued;
    case slot_answer::verdict::granted:
        return wire::slot_verdict::granted;
    case slot_answer::verdict::refused:
        return wire::slot_verdict::refused;
    case slot_answer::verdict::reclaimed:
        return wire::slot_verdict::reclaimed;
    }
    return wire::slot_verdict::queued;
}

slot_answer::verdict from_wire(wire::slot_verdict::type what)
{
    switch (what)
    {
    case wire::slot_verdict::granted:
        return slot_answer::verdict::granted;
    case wire::slot_verdict::refused:
        return slot_answer::verdict::refused;
    case wire::slot_verdict::reclaimed:
        return slot_answer::verdict::reclaimed;
    case wire::slot_verdict::queued:
        break;
    }
    return slot_answer::verdict::queued;
}

} // namespace

std::string encode(const slot_order& order)
{
    wire::slot_order message;
    message.request = order.request.str();
    message.service_name = order.pool.service.str();
    message.priority = order.priority;
    message.batch = order.kind == work_class::batch;
    message.useful_for_ms = to_milliseconds(order.useful_for);
    message.wait_when_late = order.wait_when_late;
    for (const replica_id& replica : order.excluded)
    {
        message.excluded.push_back(replica.str());
    }
    message.availability_zone = order.availability_zone.str();
    message.held_replica = order.held.str();
    message.pool = order.pool.index;
    return wire::encode(message);
}

result<slot_order> decode_slot_order(std::string_view bytes)
{
    const auto message = wire::decode<wire::slot_order>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::slot_order& read = message.value();
    slot_order order;
    order.request = request_id(read.request);
    order.pool.service = service_name(read.service_name);
    order.priority = read.priority;
    order.kind = read.batch ? work_class::batch : work_class::online;
    order.useful_for = std::chrono::milliseconds(read.useful_for_ms);
    order.wait_when_late = read.wait_when_late;
    for (const std::string& replica : read.excluded)
    {
        order.excluded.emplace(replica);
    }
    order.availability_zone = availability_zone_name(read.availability_zone);
    order.held = replica_id(read.held_replica);
    order.pool.index = read.pool;
    return order;
}

std::string encode(const slot_answer& answer)
{
    wire::slot_answer message;
    message.verdict = to_wire(answer.what);
    message.replica = answer.replica.str();
    message.retry_after_ms = to_milliseconds(answer.retry_after);
    message.spare = answer.spare;
    return wire::encode(message);
}

result<slot_answer> decode_slot_answer(std::string_view bytes)
{
    const auto message = wire::decode<wire::slot_answer>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    slot_answer answer;
    answer.what = from_wire(message.value().verdict);
    answer.replica = replica_id(message.value().replica);
    answer.retry_after =
        std::chrono::milliseconds(message.value().retry_after_ms);
    answer.spare = message.value().spare;
    return answer;
}

std::string encode(const replica_report& report)
{
    wire::replica_report message;
    message.request = report.request.str();
    message.service_name = report.service.str();
    message.replica = report.replica.str();
    message.leaving = report.leaving;
    return wire::encode(message);
}

result<replica_report> decode_replica_report(std::string_view bytes)
{
    const auto message = wire::decode<wire::replica_report>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    replica_report report;
    report.request = request_id(message.value().request);
    report.service = service_name(message.value().service_name);
    report.replica = replica_id(message.value().replica);
    report.leaving = message.value().leaving;
    return report;
}

} // namespace parsleytrack::relay
