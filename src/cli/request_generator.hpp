#pragma once

#include "cli/load_options.hpp"
#include "net/http_request.hpp"
#include "units/random_source.hpp"

#include <random>
#include <string>

namespace parsleytrack::cli
{

/// Generates requests. The prompts of a family share a prefix, and workspaces
/// send unequal numbers of requests.
class request_generator
{
public:
    explicit request_generator(const load_options& load);

    /// \returns The next online request; it asks for a streamed response.
    net::http_request online_request();

    /// \param job Number of the job, part of its idempotency key.
    /// \returns The request that submits the job.
    net::http_request batch_job_request(int job);

private:
    std::string chat_body(int tokens, bool streamed);
    std::string draw_words(std::size_t bytes, random_source& source);
    std::string draw_workspace();

    load_options options;
    random_source random;
    std::discrete_distribution<int> workspaces;
};

} // namespace parsleytrack::cli
