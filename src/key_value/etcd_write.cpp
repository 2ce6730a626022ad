#include "key_value/etcd_write.hpp"

#include "key_value/value_reader.hpp"

#include <utility>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr duration initial_retry_delay = std::chrono::milliseconds(60);
constexpr duration max_retry_delay = std::chrono::seconds(1);
constexpr duration write_timeout = std::chrono::seconds(12);

} // namespace

etcd_write::etcd_write(std::shared_ptr<etcd_transport> http_transport,
                       std::shared_ptr<write_id_cache> ids, request new_request,
                       swap_callback on_end)
    : transport(std::move(http_transport)), write_ids(std::move(ids)),
      write_request(std::move(new_request)), callback(std::move(on_end)),
      retry_backoff(initial_retry_delay, max_retry_delay),
      deadline(net::event_loop::now() + write_timeout)
{
}

void etcd_write::start()
{
    const bool present = this->write_request.expected != store_revision();
    if (!present || !has_envelope(this->write_request.key))
    {
        this->resolution.emplace(this->write_request.write_id,
                                 this->write_request.expected, std::string());
        this->send();
        return;
    }
    const auto* cached_ids = this->write_ids->find(
        this->write_request.key, this->write_request.expected);
    if (cached_ids == nullptr)
    {
        this->read_base_ids();
        return;
    }
    this->base_ids = *cached_ids;
    this->resolution.emplace(
        this->write_request.write_id, this->write_request.expected,
        cached_ids->empty() ? std::string() : cached_ids->front());
    this->send();
}

void etcd_write::read_base_ids()
{
    const auto self = this->shared_from_this();
    this->transport->post_idempotent(
        "/v3/kv/range", get_body(this->write_request.key),
        call_priority::normal,
        [self](const call_outcome& outcome)
        {
            if (outcome.status != call_outcome::status_kind::succeeded)
            {
                self->fail(error_code::store_unavailable, outcome.reason);
                return;
            }
            const auto response = parse_range(outcome.body);
            if (response.has_error())
            {
                self->fail(error_code::store_unavailable, response.error());
                return;
            }
            std::optional<stored_key> current;
            if (!response.value().keys.empty())
            {
                current = response.value().keys.front();
            }
            if (!current || current->revision != self->write_request.expected)
            {
                self->finish(write_status::not_applied, std::move(current));
                return;
            }
            read_value(*current, *self->write_ids);
            self->start();
        });
}

std::string etcd_write::body()
{
    if (!this->write_request.value)
    {
        return erase_body(this->write_request.key,
                          this->write_request.expected);
    }
    std::string bytes = *this->write_request.value;
    if (has_envelope(this->write_request.key))
    {
        this->sent_ids = extend_write_ids(this->resolution->next_attempt_id(),
                                          this->base_ids);
        bytes =
            encode_envelope(write_envelope{this->sent_ids, std::move(bytes)});
    }
    return put_body(this->write_request.key, this->write_request.expected,
                    bytes, this->write_request.lease);
}

void etcd_write::send()
{
    const auto self = this->shared_from_this();
    this->transport->post("/v3/kv/txn", this->body(), call_priority::normal,
                          [self](const call_outcome& outcome)
                          { self->handle_outcome(outcome); });
}

void etcd_write::handle_outcome(const call_outcome& outcome)
{
    this->last_reason = outcome.reason;
    if (outcome.status == call_outcome::status_kind::rejected)
    {
        const auto status = this->resolution->record_rejection();
        const error_code rejection_code =
            this->write_request.lease == store_lease() ? outcome.reason.code
                                                       : error_code::lease_lost;
        this->fail(status == write_status::unknown
                       ? error_code::store_outcome_unknown
                       : rejection_code,
                   outcome.reason);
        return;
    }
    if (outcome.status == call_outcome::status_kind::succeeded)
    {
        const auto response = parse_transaction(outcome.body);
        if (response.has_value())
        {
            this->handle_response(response.value());
            return;
        }
        this->last_reason = response.error();
    }
    if (outcome.status != call_outcome::status_kind::not_sent)
    {
        this->resolution->record_lost_response();
    }
    this->retry();
}

void etcd_write::handle_response(const transaction_response& response)
{
    if (response.succeeded)
    {
        this->resolution->record_success();
        this->finish_applied(response.revision);
        return;
    }
    store_revision revision;
    std::vector<std::string> ids;
    if (response.current)
    {
        revision = response.current->revision;
        if (const auto envelope = decode_envelope(response.current->bytes))
        {
            ids = envelope->write_ids;
        }
    }
    if (revision == this->write_request.expected)
    {
        // The response contradicts itself: the comparison failed although the
        // revision is the expected one. It is treated as lost.
        this->resolution->record_lost_response();
        this->retry();
        return;
    }
    this->finish(this->resolution->record_failed_compare(revision, ids),
                 response.current);
}

void etcd_write::retry()
{
    const duration pause =
        this->retry_backoff.next_delay(this->transport->random());
    if (net::event_loop::now() + pause >= this->deadline)
    {
        const auto status = this->resolution->abandon();
        this->fail(status == write_status::unknown
                       ? error_code::store_outcome_unknown
                       : error_code::store_unavailable,
                   this->last_reason);
        return;
    }
    // During an outage, a write that cannot have been applied fails at once.
    if (!this->resolution->has_lost_responses() &&
        !this->transport->is_reachable())
    {
        this->resolution->abandon();
        this->fail(error_code::store_unavailable, this->last_reason);
        return;
    }
    const auto self = this->shared_from_this();
    this->transport->call_after(pause, [self] { self->send(); });
}

void etcd_write::finish_applied(store_revision revision)
{
    swap_outcome outcome;
    outcome.applied = true;
    if (this->write_request.value)
    {
        outcome.current = versioned_value{*this->write_request.value, revision};
        if (has_envelope(this->write_request.key))
        {
            this->write_ids->remember(this->write_request.key, revision,
                                      this->sent_ids);
        }
    }
    this->callback(std::move(outcome));
}

void etcd_write::finish(write_status status, std::optional<stored_key> current)
{
    if (status == write_status::unknown)
    {
        this->fail(error_code::store_outcome_unknown, this->last_reason);
        return;
    }
    swap_outcome outcome;
    outcome.applied = status == write_status::applied;
    if (current)
    {
        outcome.current = read_value(*current, *this->write_ids);
    }
    this->callback(std::move(outcome));
}

void etcd_write::fail(error_code code, const error& reason)
{
    error failure = reason;
    failure.code = code;
    if (code == error_code::store_outcome_unknown)
    {
        failure.message = "the store's response to a write of " +
                          this->write_request.key +
                          " was lost: " + reason.message;
    }
    this->callback(std::move(failure));
}

} // namespace parsleytrack::key_value::detail
