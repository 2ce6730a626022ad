#pragma once

#include "cli/load_options.hpp"
#include "net/http_request.hpp"
#include "units/random_source.hpp"

#include <random>
#include <string>

namespace parsleytrack::cli
{

/// Writes requests: prompts of families that share a prefix, from workspaces
/// of unequal size.
class request_generator
{
public:
    explicit request_generator(const load_options& load);

    /// \returns The next online request, streamed.
    net::http_request online_request();

    /// \param job The job's number.
    /// \returns The request that submits a batch job.
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
