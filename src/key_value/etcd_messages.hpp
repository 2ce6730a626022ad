#pragma once

#include "key_value/store_lease.hpp"
#include "units/numbers.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Encodes and parses the JSON bodies of the etcd v3 API.
namespace parsleytrack::key_value::detail
{

/// A key, the bytes stored under it, and its revision.
struct stored_key
{
    std::string key;
    std::string bytes;
    store_revision revision;
};

struct range_response
{
    /// The store's revision at the time of the response.
    store_revision revision;
    std::vector<stored_key> keys;
    bool more = false;
};

struct transaction_response
{
    bool succeeded = false;
    store_revision revision;
    /// The key's current state if the comparison failed and the key exists.
    std::optional<stored_key> current;
};

struct lease_response
{
    store_lease lease;
    /// 0 when the lease does not exist.
    std::chrono::seconds time_to_live{0};
};

struct watch_event
{
    bool deleted = false;
    stored_key entry;
};

struct watch_response
{
    bool created = false;
    bool cancelled = false;
    std::vector<watch_event> events;
};

/// \returns The exclusive end of the range of keys that begin with the prefix.
std::string prefix_range_end(std::string prefix);

std::string get_body(const std::string& key);
std::string range_body(const std::string& first, const std::string& end,
                       std::size_t limit);
std::string put_body(const std::string& key, store_revision expected,
                     const std::string& bytes, store_lease lease);
std::string erase_body(const std::string& key, store_revision expected);
std::string grant_body(duration time_to_live);
std::string lease_body(store_lease lease);
std::string watch_body(const std::string& prefix);

/// \returns The parsed response, or error_code::corrupt_data.
result<range_response> parse_range(std::string_view body);
result<transaction_response> parse_transaction(std::string_view body);
/// Parses the response to a grant or a keep-alive.
result<lease_response> parse_lease(std::string_view body);
result<watch_response> parse_watch(std::string_view line);

} // namespace parsleytrack::key_value::detail
