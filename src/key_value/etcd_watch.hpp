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

/// A watch that is reopened after failures. Each time it has been opened, the
/// current values are listed, so that changes made while it was closed are
/// reported too.
class etcd_watch : public std::enable_shared_from_this<etcd_watch>
{
public:
    etcd_watch(std::shared_ptr<etcd_transport> http_transport,
               std::shared_ptr<write_id_cache> ids, std::string prefix,
               watch_callback callback);

    void start();

    /// Ends the watch; the callback is not called again.
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
    /// Increases when the stream is opened or closed, so that callbacks of an
    /// earlier stream and pages of its listing are ignored.
    std::uint64_t generation = 0;
    bool stopped = false;
    /// Last reported revision of each key.
    std::map<std::string, store_revision> reported;
    /// Keys found by the current listing, or reported by the watch since the
    /// listing began.
    std::map<std::string, store_revision> listed;
    /// Keys that were deleted while the current listing runs, with the revision
    /// of the deletion. A page of the listing may still hold an older value.
    std::map<std::string, store_revision> deleted_during_listing;
};

} // namespace parsleytrack::key_value::detail
