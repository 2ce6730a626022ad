#pragma once

#include "decisions/item_result.hpp"
#include "decisions/job_record.hpp"
#include "decisions/lot_record.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// Bytes of records as they stand in the platform's store.
std::string encode_job_record(const job_record& record);
result<job_record> decode_job_record(std::string_view bytes);
std::string encode_lot_record(const lot_record& record);
result<lot_record> decode_lot_record(std::string_view bytes);

/// \returns The key of a job's record.
std::string job_key(const job_id& job);

/// \returns What the keys of the records of a job's lots begin with.
std::string lot_prefix(const job_id& job);

/// \returns The key of a lot's record.
std::string lot_key(const job_id& job, int lot);

/// \param key A key that begins with lot_prefix().
/// \returns The lot's position in its job, or -1.
int lot_of_key(const std::string& key);

/// \returns What the keys of the list of open jobs begin with, for one part.
std::string open_job_prefix(const region_name& region, int shard);

/// \returns The key of a job in the list of open jobs.
std::string open_job_key(const region_name& region, const job_id& job);

} // namespace parsleytrack
