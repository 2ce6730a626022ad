#pragma once

#include "routing/version_history.hpp"
#include "units/endpoint.hpp"
#include "units/result.hpp"

#include <string>
#include <string_view>

namespace parsleytrack::relay
{

/// Prefix of the records of the storage nodes.
inline const std::string storage_node_prefix = "parsleytrack/storage/";

/// What a storage node writes to the platform's store.
struct storage_record
{
    /// Where other nodes reach it.
    endpoint address;
    /// The software versions that were in use lately.
    routing::service_versions versions;

    bool operator==(const storage_record&) const = default;
};

std::string encode(const storage_record& record);

/// \returns The record, or error_code::corrupt_data.
result<storage_record> decode_storage_record(std::string_view bytes);

} // namespace parsleytrack::relay
