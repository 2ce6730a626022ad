#include "key_value/record_client.hpp"

#include "key_value/backoff.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::key_value
{

namespace
{

/// Longer than the slowest responses of a store that still works.
constexpr duration call_timeout = std::chrono::milliseconds(1200);
/// Timeout for one page of a listing. When all nodes start together they share
/// the store's link, so that the transfer of a page may take seconds.
constexpr duration listing_timeout = std::chrono::seconds(8);
/// Time after a call in which no confirmation is asked for, since the response
/// to that call is one. During an outage calls cost as much as before it.
constexpr duration min_confirmation_delay = std::chrono::milliseconds(300);
constexpr duration min_confirmation_delay_in_outage = std::chrono::seconds(1);
/// No key has this prefix.
constexpr const char* confirmation_prefix = "parsleytrack/confirmation/";
constexpr duration initial_retry_delay = std::chrono::milliseconds(40);
constexpr duration max_retry_delay = std::chrono::milliseconds(400);
/// One retry suffices for most lost reads: they are lost with their connection.
constexpr int read_retries = 1;
constexpr int status_not_found = 404;
constexpr int status_conflict = 412;
constexpr int status_gone = 410;

/// \returns Whether the response comes from a working store; this includes
/// failed conditions, missing keys and discarded history.
bool is_working_store_response(const net::http_response& response)
{
    return response.status == 200 || response.status == status_not_found ||
           response.status == status_conflict || response.status == status_gone;
}

} // namespace

struct record_client::commit_state
{
    record_transaction transaction;
    net::http_request request;
    time_point deadline;
    backoff retry_backoff{initial_retry_delay, max_retry_delay};
    /// Whether an attempt may have been applied although its response was lost.
    bool response_lost = false;
    commit_callback callback;
};

struct record_client::list_state
{
    std::string prefix;
    read_freshness freshness = read_freshness::latest;
    /// Only keys greater than this one are listed.
    std::string after;
    bool is_single_page = false;
    list_callback callback;
    record_listing collected = {};
    bool first_page = true;
};

record_client::record_client(net::event_loop& event_loop,
                             net::http_client& client, endpoint store_address,
                             const record_adapter& store_adapter,
                             random_source& random_numbers)
    : loop(event_loop), http(client), address(std::move(store_address)),
      adapter(store_adapter), random(random_numbers)
{
}

record_client::~record_client() = default;

void record_client::get(const std::string& key, read_freshness freshness,
                        get_callback callback)
{
    this->get(key, freshness, read_retries, std::move(callback));
}

void record_client::get(const std::string& key, read_freshness freshness,
                        int retries, get_callback callback)
{
    this->count_read(freshness);
    this->send(this->adapter.get_request(key, freshness), call_timeout,
               [this, key, freshness, retries, callback = std::move(callback)](
                   const result<net::http_response>& response)
               {
                   if (response.has_value())
                   {
                       callback(this->adapter.parse_get_response(
                           key, response.value()));
                   }
                   else if (retries > 0)
                   {
                       this->get(key, freshness, retries - 1, callback);
                   }
                   else
                   {
                       callback(response.error());
                   }
               });
}

void record_client::list(const std::string& prefix, read_freshness freshness,
                         list_callback callback)
{
    this->send_page(std::make_shared<list_state>(
        list_state{prefix, freshness, {}, false, std::move(callback)}));
}

void record_client::list_page(const std::string& prefix,
                              const std::string& after,
                              read_freshness freshness, list_callback callback)
{
    this->send_page(std::make_shared<list_state>(
        list_state{prefix, freshness, after, true, std::move(callback)}));
}

void record_client::send_page(const std::shared_ptr<list_state>& state)
{
    const std::string after = state->collected.records.empty()
                                  ? state->after
                                  : state->collected.records.back().key;
    this->count_read(state->freshness);
    net::http_request request =
        this->adapter.list_request(state->prefix, after, state->freshness);
    request.head_timeout = call_timeout;
    request.idle_timeout = call_timeout;
    this->send(
        std::move(request), listing_timeout,
        [this, state](result<net::http_response> response)
        {
            if (response.has_error())
            {
                state->callback(response.error());
                return;
            }
            auto page = this->adapter.parse_list_response(response.value());
            if (page.has_error())
            {
                state->callback(page.error());
                return;
            }
            auto& records = page.value().records;
            // Changes are watched from the revision of the first page on,
            // since the pages are not a snapshot.
            if (std::exchange(state->first_page, false))
            {
                state->collected.read_revision = page.value().read_revision;
            }
            const bool has_more = page.value().truncated && !records.empty();
            state->collected.truncated = has_more;
            for (stored_record& record : records)
            {
                state->collected.records.push_back(std::move(record));
            }
            if (has_more && !state->is_single_page)
            {
                this->send_page(state);
                return;
            }
            state->callback(std::move(state->collected));
        });
}

store_call_number record_client::watch(const std::string& prefix,
                                       store_revision after, duration wait,
                                       watch_callback callback)
{
    net::http_request request =
        this->adapter.watch_request(prefix, after, wait);
    request.tcp_keepalive = true;
    ++this->counts.watches;
    return this->send(
        request, wait + call_timeout,
        [this,
         callback = std::move(callback)](result<net::http_response> response)
        {
            if (response.has_error())
            {
                callback(response.error());
                return;
            }
            callback(this->adapter.parse_watch_response(response.value()));
        });
}

void record_client::confirm()
{
    const duration delay = this->is_reachable()
                               ? min_confirmation_delay
                               : min_confirmation_delay_in_outage;
    if (this->last_call_sent &&
        net::event_loop::now() - *this->last_call_sent < delay)
    {
        return;
    }
    ++this->counts.confirmations;
    this->send(this->adapter.list_request(confirmation_prefix, "",
                                          read_freshness::may_be_stale),
               call_timeout, [](const result<net::http_response>&) {});
}

void record_client::cancel(store_call_number call)
{
    this->calls.erase(call);
}

void record_client::commit(record_transaction transaction, duration timeout,
                           commit_callback callback)
{
    const auto state = std::make_shared<commit_state>();
    state->transaction = std::move(transaction);
    state->request = this->adapter.commit_request(state->transaction);
    state->deadline = net::event_loop::now() + timeout;
    state->callback = std::move(callback);
    this->send_commit(state);
}

void record_client::send_commit(const std::shared_ptr<commit_state>& state)
{
    ++this->counts.commits;
    this->send(state->request, call_timeout,
               [this, state](result<net::http_response> response)
               {
                   if (response.has_error())
                   {
                       state->response_lost =
                           state->response_lost ||
                           response.error().ran == ran_state::unknown;
                       this->retry_commit(state, response.error());
                       return;
                   }
                   auto outcome = this->adapter.parse_commit_response(
                       state->transaction, response.value());
                   if (outcome.has_error())
                   {
                       this->retry_commit(state, outcome.error());
                       return;
                   }
                   state->callback(std::move(outcome.value()));
               });
}

void record_client::retry_commit(const std::shared_ptr<commit_state>& state,
                                 const error& reason)
{
    const duration pause = state->retry_backoff.next_delay(this->random);
    if (net::event_loop::now() + pause >= state->deadline)
    {
        error last_error = reason;
        last_error.ran =
            state->response_lost ? ran_state::unknown : ran_state::no;
        last_error.code = state->response_lost
                              ? error_code::store_outcome_unknown
                              : error_code::store_unavailable;
        log_event(log_level::warning, "store_commit_given_up",
                  {{"key", state->transaction.conditions.empty()
                               ? std::string()
                               : state->transaction.conditions.front().key},
                   {"applied", state->response_lost ? "unknown" : "no"},
                   {"reason", reason.message}});
        state->callback(last_error);
        return;
    }
    this->call_after(pause, [this, state] { this->send_commit(state); });
}

void record_client::on_reachability_change(reachability_callback callback)
{
    this->reachability_callbacks.push_back(std::move(callback));
}

void record_client::on_recovery(std::function<void(time_point)> callback)
{
    this->recovery_callbacks.push_back(std::move(callback));
}

void record_client::on_response(std::function<void(time_point)> callback)
{
    this->response_callbacks.push_back(std::move(callback));
}

store_call_number record_client::send(net::http_request request,
                                      duration timeout,
                                      response_callback callback)
{
    request.total_timeout = timeout;
    // Only calls that wait for changes have a longer timeout.
    if (timeout <= listing_timeout)
    {
        this->last_call_sent = net::event_loop::now();
    }
    const store_call_number number(
        static_cast<std::int64_t>(this->next_number++));
    this->calls[number] = this->http.send(
        this->address, request,
        {{},
         {},
         [this, number, sent = net::event_loop::now(),
          callback = std::move(callback)](result<net::http_response> outcome)
         {
             const auto call = std::move(this->calls[number]);
             this->calls.erase(number);
             if (outcome.has_error())
             {
                 this->record_failure(outcome.error(), sent);
                 callback(outcome.error());
                 return;
             }
             if (!is_working_store_response(outcome.value()))
             {
                 const error refused{error_code::store_unavailable,
                                     "the store responded with HTTP status " +
                                         std::to_string(outcome.value().status),
                                     ran_state::no,
                                     {}};
                 this->record_failure(refused, sent);
                 callback(refused);
                 return;
             }
             this->record_response();
             callback(std::move(outcome));
             this->notify_response(sent);
         }});
    return number;
}

void record_client::call_after(duration delay, std::function<void()> callback)
{
    const std::uint64_t number = this->next_number++;
    this->timers[number] =
        this->loop.call_after(delay,
                              [this, number, callback = std::move(callback)]
                              {
                                  const auto timer =
                                      std::move(this->timers[number]);
                                  this->timers.erase(number);
                                  callback();
                              });
}

void record_client::count_read(read_freshness freshness)
{
    ++(freshness == read_freshness::latest ? this->counts.reads
                                           : this->counts.stale_reads);
}

void record_client::record_response()
{
    if (this->outage.record_response())
    {
        log_event(log_level::info, "store_regained",
                  {{"address", to_string(this->address)}});
        for (const auto& callback : this->reachability_callbacks)
        {
            callback(true);
        }
    }
}

void record_client::notify_response(time_point sent)
{
    if (const auto failure = std::exchange(this->last_failure, std::nullopt))
    {
        for (const auto& callback : this->recovery_callbacks)
        {
            callback(*failure);
        }
        return;
    }
    for (const auto& callback : this->response_callbacks)
    {
        callback(sent);
    }
}

void record_client::record_failure(const error& reason, time_point sent)
{
    ++this->counts.failures;
    this->failed_call_sent =
        std::max(this->failed_call_sent, std::optional(sent));
    this->last_failure = net::event_loop::now();
    if (this->outage.record_failure(net::event_loop::now(), this->random))
    {
        log_event(log_level::warning, "store_lost",
                  {{"address", to_string(this->address)},
                   {"reason", reason.message}});
        for (const auto& callback : this->reachability_callbacks)
        {
            callback(false);
        }
    }
}

} // namespace parsleytrack::key_value
