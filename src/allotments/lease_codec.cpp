#include "allotments/lease_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/allotments_types.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace parsleytrack::allotments
{

namespace
{

/// Bounds the arithmetic with numbers that other nodes state.
constexpr std::int32_t max_count = 10'000'000;
constexpr std::int64_t max_span_us = 3600L * 1000 * 1000;

bool is_count(std::int32_t count)
{
    return count >= 0 && count <= max_count;
}

error out_of_range(const char* message)
{
    return error{error_code::corrupt_data,
                 std::string(message) + " has a number that is out of range",
                 ran_state::no,
                 {}};
}

bool is_usable(const wire::allotment_order& message)
{
    return std::isfinite(message.requests_per_s) &&
           message.requests_per_s > 0.0 && std::isfinite(message.burst) &&
           message.burst >= 0.0 && is_count(message.needed) &&
           is_count(message.wanted) && is_count(message.returned) &&
           is_count(message.sent_alone);
}

} // namespace

std::string encode(const lease_order& order)
{
    wire::allotment_order message;
    message.workspace = order.workspace.str();
    message.requests_per_s = order.limit.rate.per_second();
    message.burst = order.limit.burst;
    message.configuration = order.version.count();
    message.needed = order.needed;
    message.wanted = order.wanted;
    message.returned = order.returned;
    message.term = order.term.count();
    message.sent_alone = order.sent_alone;
    return wire::encode(message);
}

result<lease_order> decode_lease_order(std::string_view bytes)
{
    const auto message = wire::decode<wire::allotment_order>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::allotment_order& read = message.value();
    if (!is_usable(read))
    {
        return out_of_range("the order of a lease");
    }
    lease_order order;
    order.workspace = workspace_name(read.workspace);
    order.limit.rate = request_rate(read.requests_per_s);
    order.limit.burst = read.burst;
    order.version = configuration_version(read.configuration);
    order.needed = read.needed;
    order.wanted = std::max(read.wanted, read.needed);
    order.returned = read.returned;
    order.term = bucket_term(read.term);
    order.sent_alone = read.sent_alone;
    return order;
}

std::string encode(const lease_reply& reply)
{
    wire::allotment_answer message;
    message.is_owner = reply.is_owner;
    message.granted = reply.granted;
    message.term = reply.term.count();
    message.refilled_in_us = reply.refilled_in.count();
    return wire::encode(message);
}

result<lease_reply> decode_lease_reply(std::string_view bytes)
{
    const auto message = wire::decode<wire::allotment_answer>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    if (!is_count(message.value().granted))
    {
        return out_of_range("the answer about a lease");
    }
    lease_reply reply;
    reply.is_owner = message.value().is_owner;
    reply.granted = message.value().granted;
    reply.term = bucket_term(message.value().term);
    reply.refilled_in = duration(std::clamp(message.value().refilled_in_us,
                                            std::int64_t{0}, max_span_us));
    return reply;
}

} // namespace parsleytrack::allotments
