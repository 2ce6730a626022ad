#pragma once

#include "key_value/etcd_messages.hpp"
#include "key_value/etcd_transport.hpp"
#include "key_value/platform_store.hpp"
#include "key_value/write_id_cache.hpp"
#include "key_value/write_resolution.hpp"

#include <memory>
#include <optional>
#include <string>

namespace parsleytrack::key_value::detail
{

/// One compare-and-swap or deletion in progress, from the first transaction
/// until the outcome is reported. Its pending calls and timers keep it alive.
class etcd_write : public std::enable_shared_from_this<etcd_write>
{
public:
    struct request
    {
        std::string key;
        store_revision expected;
        /// Absent for a deletion.
        std::optional<std::string> value;
        store_lease lease;
        std::string write_id;
    };

    etcd_write(std::shared_ptr<etcd_transport> http_transport,
               std::shared_ptr<write_id_cache> ids, request write_request,
               swap_callback callback);

    void start();

private:
    void read_base_ids();
    void send();
    void handle_outcome(const call_outcome& outcome);
    void handle_response(const transaction_response& response);
    void retry();
    void finish_applied(store_revision revision);
    void finish(write_status status, std::optional<stored_key> current);
    void fail(error_code code, const error& reason);
    std::string body();

    std::shared_ptr<etcd_transport> transport;
    std::shared_ptr<write_id_cache> write_ids;
    request write_request;
    swap_callback callback;
    std::vector<std::string> base_ids;
    /// Ids in the envelope of the last attempt.
    std::vector<std::string> sent_ids;
    std::optional<write_resolution> resolution;
    backoff retry_backoff;
    time_point deadline;
    error last_reason;
};

} // namespace parsleytrack::key_value::detail
