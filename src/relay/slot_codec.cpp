#include "relay/slot_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/slots_types.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace parsleytrack::relay
{

namespace
{

/// Bounds the arithmetic with times that other nodes state.
constexpr std::int64_t max_span_ms = 24L * 3600 * 1000;

wire::slot_verdict::type to_wire(slot_response::status_code status)
{
    switch (status)
    {
    case slot_response::status_code::queued:
        return wire::slot_verdict::queued;
    case slot_response::status_code::granted:
        return wire::slot_verdict::granted;
    case slot_response::status_code::refused:
        return wire::slot_verdict::refused;
    case slot_response::status_code::reclaimed:
        return wire::slot_verdict::reclaimed;
    }
    return wire::slot_verdict::queued;
}

slot_response::status_code from_wire(wire::slot_verdict::type status)
{
    switch (status)
    {
    case wire::slot_verdict::granted:
        return slot_response::status_code::granted;
    case wire::slot_verdict::refused:
        return slot_response::status_code::refused;
    case wire::slot_verdict::reclaimed:
        return slot_response::status_code::reclaimed;
    case wire::slot_verdict::queued:
        break;
    }
    return slot_response::status_code::queued;
}

wire::replica_limit to_wire(const replica_limit& known, time_point now)
{
    const auto& limit = known.observation.limit;
    wire::replica_limit message;
    message.process = known.process.str();
    message.named = limit.has_value();
    message.requests_per_s = limit ? limit->per_second() : 0.0;
    message.age_ms = to_milliseconds(now - known.observation.at);
    return message;
}

/// \returns Absent when the message contains no usable number.
std::optional<replica_limit> from_wire(const wire::replica_limit& message,
                                       time_point now)
{
    const double rate = message.requests_per_s;
    if (message.named && (!std::isfinite(rate) || rate < 0.0))
    {
        return std::nullopt;
    }
    replica_limit known;
    known.process = replica_process_id(message.process);
    if (message.named)
    {
        known.observation.limit = request_rate(rate);
    }
    known.observation.at =
        now - std::chrono::milliseconds(
                  std::clamp(message.age_ms, std::int64_t{0}, max_span_ms));
    return known;
}

} // namespace

std::string encode(const slot_request& request)
{
    wire::slot_order message;
    message.request = request.request.str();
    message.node = request.node.str();
    message.service_name = request.pool.service.str();
    message.priority = request.priority;
    message.batch = request.kind == work_class::batch;
    message.useful_for_ms = to_milliseconds(request.useful_for);
    message.wait_when_late = request.wait_when_late;
    if (request.abandoned_in)
    {
        message.__set_abandoned_in_ms(to_milliseconds(*request.abandoned_in));
    }
    for (const replica_id& replica : request.excluded)
    {
        message.excluded.push_back(replica.str());
    }
    message.availability_zone = request.availability_zone.str();
    message.held_replica = request.held_replica.str();
    message.pool = request.pool.index;
    if (request.version)
    {
        message.__set_version(request.version->str());
    }
    if (request.any_version_in)
    {
        message.__set_any_version_in_ms(
            to_milliseconds(*request.any_version_in));
    }
    if (!request.workspace.empty())
    {
        message.__set_workspace(request.workspace.str());
    }
    return wire::encode(message);
}

result<slot_request> decode_slot_request(std::string_view bytes)
{
    const auto message = wire::decode<wire::slot_order>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::slot_order& read = message.value();
    slot_request request;
    request.request = request_id(read.request);
    request.node = node_id(read.node);
    request.pool.service = service_name(read.service_name);
    request.priority = read.priority;
    request.kind = read.batch ? work_class::batch : work_class::online;
    request.useful_for = std::chrono::milliseconds(read.useful_for_ms);
    request.wait_when_late = read.wait_when_late;
    if (read.__isset.abandoned_in_ms)
    {
        request.abandoned_in = std::chrono::milliseconds(
            std::clamp(read.abandoned_in_ms, std::int64_t{0}, max_span_ms));
    }
    for (const std::string& replica : read.excluded)
    {
        request.excluded.emplace(replica);
    }
    request.availability_zone = availability_zone_name(read.availability_zone);
    request.held_replica = replica_id(read.held_replica);
    request.pool.index = read.pool;
    if (read.__isset.version)
    {
        request.version = software_version(read.version);
    }
    if (read.__isset.any_version_in_ms)
    {
        request.any_version_in = std::chrono::milliseconds(
            std::clamp(read.any_version_in_ms, std::int64_t{0}, max_span_ms));
    }
    if (read.__isset.workspace)
    {
        request.workspace = workspace_name(read.workspace);
    }
    return request;
}

std::string encode(const slot_response& response, time_point now)
{
    wire::slot_answer message;
    message.verdict = to_wire(response.status);
    message.replica = response.replica.str();
    message.retry_after_ms = to_milliseconds(response.retry_after);
    message.spare = response.spare;
    if (response.limit)
    {
        message.__set_limit(to_wire(*response.limit, now));
    }
    return wire::encode(message);
}

result<slot_response> decode_slot_response(std::string_view bytes,
                                           time_point now)
{
    const auto message = wire::decode<wire::slot_answer>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    slot_response response;
    response.status = from_wire(message.value().verdict);
    response.replica = replica_id(message.value().replica);
    response.retry_after =
        std::chrono::milliseconds(message.value().retry_after_ms);
    response.spare = message.value().spare;
    if (message.value().__isset.limit)
    {
        response.limit = from_wire(message.value().limit, now);
    }
    return response;
}

std::string encode(const replica_report& report, time_point now)
{
    wire::replica_report message;
    message.request = report.request.str();
    message.service_name = report.service.str();
    message.replica = report.replica.str();
    message.leaving = report.leaving;
    message.process = report.process.str();
    if (report.limit)
    {
        message.__set_limit(to_wire(*report.limit, now));
    }
    if (report.lost)
    {
        message.__set_lost(true);
    }
    return wire::encode(message);
}

result<replica_report> decode_replica_report(std::string_view bytes,
                                             time_point now)
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
    report.process = replica_process_id(message.value().process);
    if (message.value().__isset.limit)
    {
        report.limit = from_wire(message.value().limit, now);
    }
    report.lost = message.value().__isset.lost && message.value().lost;
    return report;
}

} // namespace parsleytrack::relay
