#include "jobs/job_codec.hpp"

#include "wire/codec.hpp"
#include "wire/generated/node_jobs_types.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace parsleytrack::jobs
{

namespace
{

error damaged(const char* what)
{
    return error{error_code::corrupt_data, what, ran_state::no, {}};
}

} // namespace

std::string encode(const job_input& input)
{
    wire::node_job_input message;
    message.job = input.id.str();
    message.route_name = input.route_name;
    message.host = input.host;
    message.submitted_at_ms = input.submitted_at_ms;
    message.configuration = input.accepted_by.count();
    if (!input.workspace.empty())
    {
        message.__set_workspace(input.workspace.str());
    }
    for (const job_item& item : input.items)
    {
        wire::node_job_item& entry = message.items.emplace_back();
        entry.id = item.id;
        entry.target = item.target;
        entry.body = item.body;
        entry.tokens = item.tokens.count();
        for (const auto& [name, value] : item.headers)
        {
            wire::node_job_header& field = entry.headers.emplace_back();
            field.name = name;
            field.value = value;
        }
    }
    return wire::encode(message);
}

result<job_input> decode_input(std::string_view bytes)
{
    auto message = wire::decode<wire::node_job_input>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    job_input input;
    input.id = job_id(message.value().job);
    input.route_name = message.value().route_name;
    input.host = message.value().host;
    input.submitted_at_ms = message.value().submitted_at_ms;
    input.accepted_by = configuration_version(message.value().configuration);
    input.workspace = workspace_name(message.value().workspace);
    for (wire::node_job_item& entry : message.value().items)
    {
        job_item& item = input.items.emplace_back();
        item.id = std::move(entry.id);
        item.target = std::move(entry.target);
        item.body = std::move(entry.body);
        item.tokens = token_count(entry.tokens);
        for (wire::node_job_header& field : entry.headers)
        {
            item.headers.emplace_back(std::move(field.name),
                                      std::move(field.value));
        }
    }
    return input;
}

std::string encode(const job_state& state)
{
    wire::node_job_state message;
    message.job = state.id.str();
    message.route_name = state.route_name;
    message.owner = state.owner.str();
    message.owner_life = state.owner_process.count();
    message.cancelled = state.cancelled;
    message.submitted_at_ms = state.submitted_at_ms;
    message.item_count = static_cast<std::int32_t>(state.item_count);
    message.waiting_tokens = state.waiting_tokens.count();
    message.age_ms = to_milliseconds(state.age);
    if (!state.workspace.empty())
    {
        message.__set_workspace(state.workspace.str());
    }
    message.__set_configuration(state.configuration.count());
    for (const item_outcome& outcome : state.outcomes)
    {
        wire::node_job_outcome& entry = message.outcomes.emplace_back();
        entry.item = static_cast<std::int32_t>(outcome.item);
        entry.completed = outcome.completed;
    }
    return wire::encode(message);
}

result<job_state> decode_state(std::string_view bytes)
{
    const auto message = wire::decode<wire::node_job_state>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::node_job_state& read = message.value();
    if (read.item_count < 0)
    {
        return damaged("a job has a negative number of items");
    }
    job_state state;
    state.id = job_id(read.job);
    state.route_name = read.route_name;
    state.owner = node_id(read.owner);
    state.owner_process = process_number(read.owner_life);
    state.cancelled = read.cancelled;
    state.submitted_at_ms = read.submitted_at_ms;
    state.item_count = static_cast<std::size_t>(read.item_count);
    state.waiting_tokens = token_count(read.waiting_tokens);
    state.workspace = workspace_name(read.workspace);
    state.configuration = configuration_version(read.configuration);
    state.age = std::max<duration>(duration::zero(),
                                   std::chrono::milliseconds(read.age_ms));
    for (const wire::node_job_outcome& entry : read.outcomes)
    {
        if (entry.item < 0 || entry.item >= read.item_count)
        {
            return damaged("a job has an outcome for an unknown item");
        }
        state.outcomes.push_back(item_outcome{
            static_cast<std::size_t>(entry.item), entry.completed});
    }
    return state;
}

std::string encode_usage(token_count waiting)
{
    wire::node_job_usage message;
    message.waiting_tokens = waiting.count();
    return wire::encode(message);
}

result<token_count> decode_usage(std::string_view bytes)
{
    const auto message = wire::decode<wire::node_job_usage>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    return token_count(message.value().waiting_tokens);
}

std::string encode(const job_page& page)
{
    wire::node_job_page message;
    message.total = static_cast<std::int32_t>(page.total);
    for (const job_result& entry : page.results)
    {
        wire::node_job_result& item = message.results.emplace_back();
        item.item = entry.item;
        item.completed = entry.completed;
        item.output = entry.output;
    }
    return wire::encode(message);
}

result<job_page> decode_page(std::string_view bytes)
{
    auto message = wire::decode<wire::node_job_page>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    job_page page;
    page.total = static_cast<std::size_t>(std::max(0, message.value().total));
    for (wire::node_job_result& entry : message.value().results)
    {
        page.results.push_back(job_result{
            std::move(entry.item), entry.completed, std::move(entry.output)});
    }
    return page;
}

std::string encode_output(const job_result& output, std::size_t item_count)
{
    return encode(job_page{item_count, {output}});
}

result<job_result> decode_output(std::string_view bytes)
{
    auto page = decode_page(bytes);
    if (page.has_error())
    {
        return page.error();
    }
    if (page.value().results.empty())
    {
        return damaged("a result record contains no result");
    }
    return std::move(page.value().results.front());
}

std::string encode(const job_progress& progress)
{
    wire::node_job_progress message;
    for (const auto& [item, known] : progress)
    {
        wire::node_job_partial& entry = message.items.emplace_back();
        entry.item = static_cast<std::int32_t>(item);
        entry.last_event = known.last_event;
        entry.output = known.output;
        entry.__set_version(known.version.str());
        entry.__set_service_name(known.service.str());
    }
    return wire::encode(message);
}

result<job_progress> decode_progress(std::string_view bytes)
{
    auto message = wire::decode<wire::node_job_progress>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    job_progress progress;
    for (wire::node_job_partial& entry : message.value().items)
    {
        if (entry.item < 0 || entry.last_event < 0)
        {
            return damaged("item progress has a negative item or event number");
        }
        if (!entry.__isset.version || !entry.__isset.service_name)
        {
            // Written by an earlier release; the item starts anew.
            continue;
        }
        progress[static_cast<std::size_t>(entry.item)] =
            item_progress{entry.last_event, std::move(entry.output),
                          software_version(std::move(entry.version)),
                          service_name(std::move(entry.service_name))};
    }
    return progress;
}

} // namespace parsleytrack::jobs
