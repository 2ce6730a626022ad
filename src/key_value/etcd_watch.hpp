#pragma once

#include "key_value/etcd_messages.hpp"
#include "key_value/etcd_transport.hpp"
#include "key_value/platform_store.hpp"
#include "key_value/write_id_cache.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace parsleytrack::key_value::detail
{

/// A watch that opens again after failures. Each time that it has been opened,
/// the present values are listed, so that no change is missed for good.
class etcd_watch : public std::enable_shared_from_this<etcd_watch>
{
public:
    etcd_watch(std::shared_ptr<etcd_transport> http_transport,
               std::shared_ptr<write_id_cache> ids, std::string prefix,
               watch_callback callback);

    void start();

    /// Ends the watch; no callback follows.
    void stop();

private:
    void open();
    void reopen();
    void close_stream();
    void receive(std::string_view piece);
    void handle_line(std::string_view line);
    void list_from(const std::string& first);
    void handle_page(const call_outcome& outcome);
    void report_missing_keys();
    void report(const stored_key& entry);
    void report_deleted(const std::string& key, store_revision revision);

    std::shared_ptr<etcd_transport> transport;
    std::shared_ptr<write_id_cache> write_ids;
    std::string prefix;
    watch_callback callback;
    backoff retry_backoff;
    std::string buffer;
    std::optional<std::uint64_t> stream;
    /// Counts openings, so that a listing of an earlier one is not taken in.
    std::uint64_t generation = 0;
    bool stopped = false;
    /// Revision last reported of each key.
    std::map<std::string, store_revision> reported;
    /// Keys seen by the listing under way, or by the watch meanwhile.
    std::map<std::string, store_revision> listed;
    /// Deletions seen while a listing is under way, which may be older.
    std::map<std::string, store_revision> deleted_during_listing;
};

} // namespace parsleytrack::key_value::detail
