#pragma once

#include "jobs/usage_account.hpp"
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

/// \returns Key of the number of tokens that wait on an account.
std::string job_usage_key(const jobs::usage_account& account);

/// \param workspace Whose job it is; empty if there are no workspaces.
/// \param id The id that the caller has given.
/// \returns The id in the store and between nodes. Jobs of different workspaces
/// never meet, even if callers choose the same id.
job_id stored_job_id(const workspace_name& workspace, const job_id& id);

} // namespace parsleytrack::relay
