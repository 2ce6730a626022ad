#pragma once

#include "units/ids.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack::relay
{

/// Prefix of the state records of all jobs.
inline const std::string job_state_prefix = "parsleytrack/jobs/state/";

/// \returns Key of a job's state.
std::string job_state_key(const job_id& job);

/// \returns Key of the job as submitted.
std::string job_input_key(const job_id& job);

/// \returns Prefix of a job's outputs; their keys sort by position.
std::string job_output_prefix(const job_id& job);

/// \returns Key of the output at a position.
std::string job_output_key(const job_id& job, std::size_t position);

/// \returns Key of the progress of items without an outcome.
std::string job_progress_key(const job_id& job);

/// \returns Key of the number of tokens that wait on a route.
std::string job_usage_key(const std::string& route_name);

} // namespace parsleytrack::relay
