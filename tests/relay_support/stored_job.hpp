#pragma once

#include "jobs/job_codec.hpp"
#include "relay/job_keys.hpp"
#include "relay_support/store_stand_in.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::relay_support
{

/// A job as its owner leaves it in the store.
struct stored_job
{
    job_id id;
    /// Numbers of items with and without a result.
    std::size_t results = 0;
    std::size_t unfinished = 0;
    std::size_t result_bytes = 0;
    std::size_t body_bytes = 0;
    duration age = duration::zero();
};

/// \returns The id of an item of a stored job.
inline std::string stored_item_id(std::size_t number)
{
    return "item-" + std::to_string(number);
}

/// Writes a job to the store, whose owner is gone.
inline void put(store_stand_in& store, const stored_job& job)
{
    jobs::job_input input;
    input.id = job.id;
    input.route_name = "batch";
    jobs::job_state state;
    state.id = job.id;
    state.route_name = "batch";
    state.owner = node_id("gone");
    state.age = job.age;
    state.item_count = job.results + job.unfinished;
    for (std::size_t number = 0; number < state.item_count; ++number)
    {
        jobs::job_item& item = input.items.emplace_back();
        item.id = stored_item_id(number);
        item.target = "/batch/x";
        item.body = std::string(job.body_bytes, 'b');
        if (number >= job.results)
        {
            continue;
        }
        state.outcomes.push_back({number, true});
        const jobs::job_result output{item.id, true,
                                      std::string(job.result_bytes, 'r')};
        store.put(relay::job_output_key(job.id, number),
                  jobs::encode_output(output, state.item_count));
    }
    store.put(relay::job_input_key(job.id), jobs::encode(input));
    store.put(relay::job_state_key(job.id), jobs::encode(state));
}

} // namespace parsleytrack::relay_support
