#pragma once

#include "routing/request_kind.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <string>
#include <vector>

namespace parsleytrack::routing
{

/// One of the services among which a route's requests are distributed.
struct weighted_service
{
    service_name service;
    /// Weight relative to the other services of the route.
    int weight = 1;
};

/// Target services and limits for the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::at_most_once;
    std::vector<weighted_service> services;
    /// Maximum number of replicas to which one attempt of a caller may be sent.
    int max_attempts = 1;
    /// Maximum time that a caller waits for the response; zero for no limit.
    duration timeout = duration::zero();
    /// Time within which a response, or the first event of a stream, is due.
    duration target_latency = duration::zero();
    /// How long a caller waits for the first event of a stream before it
    /// leaves; zero when it waits for as long as it says.
    duration caller_patience = duration::zero();
    /// Longest pause between events of a stream that is on time; zero if the
    /// operator does not say.
    duration longest_pause = duration::zero();
    /// 0 is the most urgent.
    int priority = 0;
    /// Whether callers need no key, though there are workspaces.
    bool is_public = false;
    /// Whether a stream may be resumed on another replica.
    bool resumable = false;
    /// Batch: how long after its submission a job's results are due.
    duration run_target = duration::zero();
    /// Batch: how long after its submission an item may be abandoned.
    duration retention = duration::zero();
    /// Batch: maximum tokens of unfinished items of all jobs, or of those of
    /// each workspace if there are any; 0 for no limit.
    token_count waiting_tokens_limit;

    /// \returns Whether a request may be retried after it may have run.
    bool is_repeatable() const
    {
        return this->kind == request_kind::idempotent ||
               (this->kind == request_kind::streaming && this->resumable);
    }
};

} // namespace parsleytrack::routing
