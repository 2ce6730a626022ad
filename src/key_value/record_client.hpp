#pragma once

#include "key_value/call_counts.hpp"
#include "key_value/outage_detector.hpp"
#include "key_value/record_adapter.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "units/endpoint.hpp"
#include "units/numbers.hpp"
#include "units/random_source.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// Reads and changes records of the platform's store, with transactions over
/// several keys. When the response to a transaction is lost, the same
/// transaction is sent again: its conditions make sure that it is applied at
/// most once.
class record_client
{
public:
    using get_callback = std::function<void(result<stored_record>)>;
    using list_callback = std::function<void(result<record_listing>)>;
    using watch_callback = std::function<void(result<record_changes>)>;
    /// An error's `ran` is ran_state::no when the transaction was not applied
    /// and never will be, and ran_state::unknown when that is not known.
    using commit_callback = std::function<void(result<transaction_outcome>)>;
    /// \param reachable False when an outage begins, true when it ends.
    using reachability_callback = std::function<void(bool reachable)>;

    record_client(net::event_loop& event_loop, net::http_client& client,
                  endpoint address, const record_adapter& calls,
                  random_source& random_numbers);
    ~record_client();
    record_client(const record_client&) = delete;
    record_client& operator=(const record_client&) = delete;

    /// Reads one key. A failed read is retried once.
    void get(const std::string& key, read_freshness freshness,
             get_callback callback);

    /// Reads all keys that begin with a prefix, page by page. The pages are not
    /// a snapshot; the listing carries the revision of the first one.
    void list(const std::string& prefix, read_freshness freshness,
              list_callback callback);

    /// Reads one page of the keys that begin with a prefix.
    ///
    /// \param after Only keys greater than this one; empty for all.
    void list_page(const std::string& prefix, const std::string& after,
                   read_freshness freshness, list_callback callback);

    /// Makes one call that waits for changes after a revision.
    ///
    /// \param wait How long the store may hold the call open.
    /// \returns The call's number, for cancel().
    store_call_number watch(const std::string& prefix, store_revision after,
                            duration wait, watch_callback callback);

    /// Longest time for which the store may hold a call of watch() open.
    static constexpr duration max_watch_wait = std::chrono::seconds(25);

    /// Makes a call that reads nothing, for the callbacks of on_response(),
    /// unless the response to another call is due.
    void confirm();

    /// Abandons a call that waits for changes; its callback is not called.
    void cancel(store_call_number call);

    /// Applies a transaction.
    ///
    /// \param timeout How long the transaction is retried after failures.
    void commit(record_transaction transaction, duration timeout,
                commit_callback callback);

    /// \param callback Called when an outage begins and when it ends.
    void on_reachability_change(reachability_callback callback);

    /// \param callback Called when the store responds again after a call has
    /// failed, even if no outage was detected. Gets the time of the last
    /// failure. The store may have forgotten the calls that were waiting then.
    void on_recovery(std::function<void(time_point last_failure)> callback);

    /// \param callback Called when the store responds to a call, unless
    /// on_recovery() reports this response. Gets the time at which the call was
    /// sent.
    void on_response(std::function<void(time_point sent)> callback);

    bool is_reachable() const { return this->outage.is_reachable(); }

    /// \returns During an outage, when the call was sent that failed last;
    /// otherwise absent.
    std::optional<time_point> last_call_in_outage() const
    {
        return this->is_reachable() ? std::nullopt : this->failed_call_sent;
    }

    const call_counts& calls_made() const { return this->counts; }

private:
    using response_callback = std::function<void(result<net::http_response>)>;
    struct commit_state;
    struct list_state;

    void get(const std::string& key, read_freshness freshness, int retries,
             get_callback callback);
    store_call_number send(net::http_request request, duration timeout,
                           response_callback callback);
    void send_page(const std::shared_ptr<list_state>& state);
    void send_commit(const std::shared_ptr<commit_state>& state);
    void retry_commit(const std::shared_ptr<commit_state>& state,
                      const error& reason);
    void call_after(duration delay, std::function<void()> callback);
    void count_read(read_freshness freshness);
    void record_response();
    /// Calls the callbacks of on_recovery() or of on_response().
    void notify_response(time_point sent);
    void record_failure(const error& reason, time_point sent);

    net::event_loop& loop;
    net::http_client& http;
    endpoint address;
    const record_adapter& adapter;
    random_source& random;
    outage_detector outage;
    std::vector<reachability_callback> reachability_callbacks;
    std::vector<std::function<void(time_point)>> recovery_callbacks;
    std::vector<std::function<void(time_point)>> response_callbacks;
    /// Set while the last call has failed.
    std::optional<time_point> last_failure;
    /// When the call that failed last was sent.
    std::optional<time_point> failed_call_sent;
    /// When the last call was sent that the store answers at once.
    std::optional<time_point> last_call_sent;
    std::map<store_call_number, std::unique_ptr<net::http_call>> calls;
    std::map<std::uint64_t, net::timer> timers;
    std::uint64_t next_number = 1;
    call_counts counts;
};

} // namespace parsleytrack::key_value
