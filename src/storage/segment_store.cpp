#include "storage/segment_store.hpp"

#include "storage/statement.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <utility>

namespace parsleytrack::storage
{

using detail::statement;

namespace
{

// Exclusive locking has to be set before the first access: only then the
// write-ahead log's index lies on the heap and not in shared memory.
constexpr const char* setup =
    "PRAGMA locking_mode=EXCLUSIVE;"
    "PRAGMA journal_mode=WAL;"
    "PRAGMA synchronous=FULL;"
    "PRAGMA cache_size=-2000;"
    "PRAGMA journal_size_limit=16777216;"
    "CREATE TABLE IF NOT EXISTS segments("
    "id TEXT PRIMARY KEY, created_s INTEGER, bytes BLOB) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS records("
    "name TEXT PRIMARY KEY, version INTEGER, created_s INTEGER, bytes BLOB)"
    " WITHOUT ROWID;"
    // A write at the start finds a folder that can only be read.
    "PRAGMA user_version=1;";

error storage_error(sqlite3* database, const std::string& doing)
{
    return error{error_code::storage_failed,
                 doing + ": " + sqlite3_errmsg(database), ran_state::no,
                 std::chrono::seconds(5)};
}

result<bool> finish(sqlite3* database, statement& change, const char* doing)
{
    if (change.step() != SQLITE_DONE)
    {
        return storage_error(database, doing);
    }
    return true;
}

} // namespace

namespace detail
{

void sqlite_deleter::operator()(sqlite3* database) const
{
    sqlite3_close_v2(database);
}

} // namespace detail

segment_id checksum_of(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return segment_id(text.data());
}

segment_store::segment_store(sqlite3* opened) : database(opened) {}

result<std::unique_ptr<segment_store>>
segment_store::open(const std::string& folder)
{
    const std::string path = folder + "/segments.db";
    sqlite3* handle = nullptr;
    const int opened =
        sqlite3_open_v2(path.c_str(), &handle,
                        SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    std::unique_ptr<segment_store> store(new segment_store(handle));
    if (opened != SQLITE_OK ||
        sqlite3_exec(handle, setup, nullptr, nullptr, nullptr) != SQLITE_OK)
    {
        return storage_error(handle,
                             "the data folder " + folder + " cannot be used");
    }
    return store;
}

result<bool> segment_store::put(const segment_id& id, std::string_view bytes,
                                std::int64_t now_s)
{
    if (checksum_of(bytes) != id)
    {
        return error{error_code::corrupt_data,
                     "segment " + id.str() + " does not match its checksum",
                     ran_state::no,
                     {}};
    }
    // Writing again replaces a copy that the disk has damaged, and lets the
    // time after which it is forgotten begin anew.
    statement change(this->database.get(),
                     "INSERT OR REPLACE INTO segments VALUES(?,?,?)");
    change.bind(id.str()).bind(now_s).bind(bytes, true);
    return finish(this->database.get(), change, "writing a segment");
}

result<std::string> segment_store::get(const segment_id& id) const
{
    statement query(this->database.get(),
                    "SELECT bytes FROM segments WHERE id=?");
    query.bind(id.str());
    const int step = query.step();
    if (step == SQLITE_DONE)
    {
        return error{error_code::not_found,
                     "segment " + id.str() + " is not here",
                     ran_state::no,
                     {}};
    }
    if (step != SQLITE_ROW)
    {
        return storage_error(this->database.get(), "reading a segment");
    }
    std::string bytes = query.bytes_at(0);
    if (checksum_of(bytes) != id)
    {
        return error{error_code::corrupt_data,
                     "segment " + id.str() + " is damaged on the disk",
                     ran_state::no,
                     {}};
    }
    return bytes;
}

bool segment_store::contains(const segment_id& id) const
{
    statement query(this->database.get(), "SELECT 1 FROM segments WHERE id=?");
    query.bind(id.str());
    return query.step() == SQLITE_ROW;
}

result<std::vector<segment_id>> segment_store::list(const segment_id& after,
                                                    std::size_t limit) const
{
    statement query(this->database.get(),
                    "SELECT id FROM segments WHERE id>? ORDER BY id LIMIT ?");
    query.bind(after.str()).bind(static_cast<std::int64_t>(limit));
    std::vector<segment_id> names;
    int step = query.step();
    for (; step == SQLITE_ROW; step = query.step())
    {
        names.emplace_back(query.bytes_at(0));
    }
    if (step != SQLITE_DONE)
    {
        return storage_error(this->database.get(), "listing segments");
    }
    return names;
}

result<bool> segment_store::erase(const segment_id& id)
{
    statement change(this->database.get(), "DELETE FROM segments WHERE id=?");
    change.bind(id.str());
    return finish(this->database.get(), change, "erasing a segment");
}

result<bool> segment_store::erase_older_than(std::int64_t moment_s)
{
    for (const char* sql : {"DELETE FROM segments WHERE created_s<?",
                            "DELETE FROM records WHERE created_s<?"})
    {
        statement change(this->database.get(), sql);
        change.bind(moment_s);
        if (change.step() != SQLITE_DONE)
        {
            return storage_error(this->database.get(), "erasing old segments");
        }
    }
    return true;
}

result<bool> segment_store::put_record(const kept_record& record,
                                       std::int64_t now_s)
{
    statement change(
        this->database.get(),
        "INSERT INTO records VALUES(?,?,?,?) ON CONFLICT(name) DO UPDATE SET "
        "version=excluded.version, created_s=excluded.created_s, "
        "bytes=excluded.bytes WHERE excluded.version>records.version");
    change.bind(record.name)
        .bind(record.version)
        .bind(now_s)
        .bind(record.bytes, true);
    return finish(this->database.get(), change, "writing a record");
}

result<std::vector<kept_record>>
segment_store::list_records(const std::string& prefix, const std::string& after,
                            std::size_t limit) const
{
    // No name contains a byte as large as this one.
    const std::string end = prefix + '\xff';
    statement query(this->database.get(),
                    "SELECT name,version,bytes FROM records WHERE name>=? AND "
                    "name<? AND name>? ORDER BY name LIMIT ?");
    query.bind(prefix).bind(end).bind(after).bind(
        static_cast<std::int64_t>(limit));
    std::vector<kept_record> found;
    int step = query.step();
    for (; step == SQLITE_ROW; step = query.step())
    {
        found.push_back(
            {query.bytes_at(0), query.number_at(1), query.bytes_at(2)});
    }
    if (step != SQLITE_DONE)
    {
        return storage_error(this->database.get(), "listing records");
    }
    return found;
}

} // namespace parsleytrack::storage
