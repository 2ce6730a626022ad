#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace parsleytrack::storage::detail
{

struct statement_deleter
{
    void operator()(sqlite3_stmt* handle) const { sqlite3_finalize(handle); }
};

/// One prepared SQL statement, from binding its values to its last row.
class statement
{
public:
    statement(sqlite3* database, const char* sql)
    {
        sqlite3_stmt* prepared = nullptr;
        sqlite3_prepare_v2(database, sql, -1, &prepared, nullptr);
        this->handle.reset(prepared);
    }

    /// Binds the next value; the bytes must outlive the statement.
    statement& bind(std::string_view bytes, bool as_blob = false)
    {
        const int size = static_cast<int>(bytes.size());
        const int place = this->next_value++;
        if (as_blob)
        {
            sqlite3_bind_blob(this->handle.get(), place, bytes.data(), size,
                              SQLITE_STATIC);
        }
        else
        {
            sqlite3_bind_text(this->handle.get(), place, bytes.data(), size,
                              SQLITE_STATIC);
        }
        return *this;
    }

    statement& bind(std::int64_t number)
    {
        sqlite3_bind_int64(this->handle.get(), this->next_value++, number);
        return *this;
    }

    /// \returns SQLITE_ROW, SQLITE_DONE or an error of the library.
    int step()
    {
        return this->handle ? sqlite3_step(this->handle.get()) : SQLITE_ERROR;
    }

    std::string bytes_at(int column) const
    {
        const void* data = sqlite3_column_blob(this->handle.get(), column);
        const int size = sqlite3_column_bytes(this->handle.get(), column);
        return data == nullptr ? std::string()
                               : std::string(static_cast<const char*>(data),
                                             static_cast<std::size_t>(size));
    }

    std::int64_t number_at(int column) const
    {
        return sqlite3_column_int64(this->handle.get(), column);
    }

private:
    std::unique_ptr<sqlite3_stmt, statement_deleter> handle;
    int next_value = 1;
};

} // namespace parsleytrack::storage::detail
