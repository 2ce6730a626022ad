#include "relay/origin_messages.hpp"

#include "wire/codec.hpp"
#include "wire/generated/stream_origins_types.h"

#include <algorithm>
#include <cstdint>

namespace parsleytrack::relay
{

namespace
{

/// Bounds the arithmetic with times that other nodes state, and the memory that
/// they occupy.
constexpr std::int64_t max_span_ms = 10L * 60 * 1000;

duration to_span(std::int64_t milliseconds)
{
    return std::chrono::milliseconds(
        std::clamp(milliseconds, std::int64_t{0}, max_span_ms));
}

} // namespace

origin_reply view_of(const origin_inquiry& inquiry, const origin_memory& memory,
                     const routing::version_history& history, time_point now)
{
    const time_point since = now - inquiry.within;
    origin_reply view;
    view.origin = memory.find(inquiry.request, now);
    view.has_observed = history.covers(since);
    for (const service_name& service : inquiry.services)
    {
        for (const software_version& version :
             history.versions_since(service, since))
        {
            view.candidates.push_back(stream_origin{service, version});
        }
    }
    return view;
}

std::string encode(const std::vector<origin_memory::entry>& notice,
                   time_point now)
{
    wire::stream_origin_notice message;
    for (const origin_memory::entry& known : notice)
    {
        wire::stream_origin& entry = message.origins.emplace_back();
        entry.request = known.request.str();
        entry.service_name = known.origin.service.str();
        entry.version = known.origin.version.str();
        entry.keep_ms = to_milliseconds(known.until - now);
    }
    return wire::encode(message);
}

result<std::vector<origin_memory::entry>>
decode_origin_notice(std::string_view bytes, time_point now)
{
    const auto message = wire::decode<wire::stream_origin_notice>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    std::vector<origin_memory::entry> notice;
    for (const wire::stream_origin& entry : message.value().origins)
    {
        notice.push_back(origin_memory::entry{
            request_id(entry.request),
            {service_name(entry.service_name), software_version(entry.version)},
            now + to_span(entry.keep_ms)});
    }
    return notice;
}

std::string encode(const origin_inquiry& inquiry)
{
    wire::stream_origin_inquiry message;
    message.request = inquiry.request.str();
    for (const service_name& service : inquiry.services)
    {
        message.services.push_back(service.str());
    }
    message.within_ms = to_milliseconds(inquiry.within);
    return wire::encode(message);
}

result<origin_inquiry> decode_origin_inquiry(std::string_view bytes)
{
    const auto message = wire::decode<wire::stream_origin_inquiry>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    origin_inquiry inquiry;
    inquiry.request = request_id(message.value().request);
    for (const std::string& service : message.value().services)
    {
        inquiry.services.emplace_back(service);
    }
    inquiry.within = to_span(message.value().within_ms);
    return inquiry;
}

std::string encode(const origin_reply& reply)
{
    wire::stream_origin_reply message;
    if (reply.origin)
    {
        wire::stream_origin origin;
        origin.service_name = reply.origin->service.str();
        origin.version = reply.origin->version.str();
        message.__set_origin(origin);
    }
    message.has_observed = reply.has_observed;
    if (reply.remembers)
    {
        message.__set_remembers(true);
    }
    for (const stream_origin& candidate : reply.candidates)
    {
        wire::service_version& entry = message.versions.emplace_back();
        entry.service_name = candidate.service.str();
        entry.version = candidate.version.str();
    }
    return wire::encode(message);
}

result<origin_reply> decode_origin_reply(std::string_view bytes)
{
    const auto message = wire::decode<wire::stream_origin_reply>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::stream_origin_reply& read = message.value();
    origin_reply reply;
    if (read.__isset.origin)
    {
        reply.origin = stream_origin{service_name(read.origin.service_name),
                                     software_version(read.origin.version)};
    }
    reply.has_observed = read.has_observed;
    reply.remembers = read.remembers;
    for (const wire::service_version& entry : read.versions)
    {
        reply.candidates.push_back(stream_origin{
            service_name(entry.service_name), software_version(entry.version)});
    }
    return reply;
}

} // namespace parsleytrack::relay
