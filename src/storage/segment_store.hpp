#pragma once

#include "storage/kept_record.hpp"
#include "units/ids.hpp"
#include "units/result.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct sqlite3;

namespace parsleytrack::storage
{

namespace detail
{
struct sqlite_deleter
{
    void operator()(sqlite3* database) const;
};
} // namespace detail

/// \param bytes A segment's content.
/// \returns Its name: the XXH3 checksum of 128 bits in hexadecimal digits.
segment_id checksum_of(std::string_view bytes);

/// Immutable segments, and copies of records, on the local disk. What has
/// been acknowledged was synced to the disk.
class segment_store
{
public:
    /// Opens or creates the database.
    ///
    /// \param folder The data folder; must exist and be writable.
    /// \returns The store, or error_code::storage_failed.
    static result<std::unique_ptr<segment_store>>
    open(const std::string& folder);

    /// Keeps a segment; keeping it again changes nothing.
    ///
    /// \param id Its name.
    /// \param bytes Its content.
    /// \param now_s Wall clock in seconds, for erase_older_than().
    /// \returns Nothing, error_code::corrupt_data when the content does not
    /// match the name, or error_code::storage_failed.
    result<bool> put(const segment_id& id, std::string_view bytes,
                     std::int64_t now_s);

    /// \returns The content; error_code::not_found, or error_code::corrupt_data
    /// when the disk returned something else than was written.
    result<std::string> get(const segment_id& id) const;

    /// \returns Whether the segment is here; its content is not checked.
    bool contains(const segment_id& id) const;

    /// \param after Only names greater than this one; empty for all.
    /// \param limit The most names to return.
    /// \returns Names in order.
    result<std::vector<segment_id>> list(const segment_id& after,
                                         std::size_t limit) const;

    /// Forgets a segment.
    result<bool> erase(const segment_id& id);

    /// Forgets segments and records kept before a moment.
    ///
    /// \param moment_s Wall clock in seconds.
    result<bool> erase_older_than(std::int64_t moment_s);

    /// Keeps a record unless a newer version of it is here.
    result<bool> put_record(const kept_record& record, std::int64_t now_s);

    /// \param prefix Start of the records' names.
    /// \param after Only names greater than this one; empty for all.
    /// \param limit The most records to return.
    /// \returns Records in the order of their names.
    result<std::vector<kept_record>> list_records(const std::string& prefix,
                                                  const std::string& after,
                                                  std::size_t limit) const;

private:
    explicit segment_store(sqlite3* database);

    std::unique_ptr<sqlite3, detail::sqlite_deleter> database;
};

} // namespace parsleytrack::storage
