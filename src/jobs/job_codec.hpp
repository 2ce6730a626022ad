#pragma once

#include "jobs/item_progress.hpp"
#include "jobs/job_input.hpp"
#include "jobs/job_page.hpp"
#include "jobs/job_state.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::jobs
{

/// Encoding of records in the platform's store and in messages between nodes.
/// The decode functions return error_code::corrupt_data for malformed bytes.
std::string encode(const job_input& input);
result<job_input> decode_input(std::string_view bytes);

std::string encode(const job_state& state);
result<job_state> decode_state(std::string_view bytes);

std::string encode_usage(token_count waiting);
result<token_count> decode_usage(std::string_view bytes);

std::string encode(const job_page& page);
result<job_page> decode_page(std::string_view bytes);

/// Encodes one result as it is stored.
///
/// \param item_count Number of items in the job.
std::string encode_output(const job_result& output, std::size_t item_count);
result<job_result> decode_output(std::string_view bytes);

std::string encode(const job_progress& progress);
result<job_progress> decode_progress(std::string_view bytes);

} // namespace parsleytrack::jobs
