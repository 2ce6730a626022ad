#include "key_value/etcd_write.hpp"

#include "key_value/value_reader.hpp"

#include <utility>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr duration first_pause = std::chrono::milliseconds(60);
constexpr duration longest_pause = std::chrono::seconds(1);
constexpr duration patience = std::chrono::seconds(12);

} // namespace

etcd_write::etcd_write(std::shared_ptr<etcd_caller> calls,
                       std::shared_ptr<write_id_cache> ids, request what,
                       swap_callback on_end)
    : caller(std::move(calls)), write_ids(std::move(ids)),
      wanted(std::move(what)), callback(std::move(on_end)),
      pauses(first_pause, longest_pause),
      give_up_at(net::event_loop::now() + patience)
{
}

void etcd_write::start()
{
    const bool present = this->wanted.expected != store_revision();
    if (!present || !has_envelope(this->wanted.key))
    {
        this->resolution.emplace(this->wanted.write_id, this->wanted.expected,
                                 std::string());
        this->send();
        return;
    }
    const auto* known =
        this->write_ids->find(this->wanted.key, this->wanted.expected);
    if (known == nullptr)
    {
        this->read_base();
        return;
    }
    this->base_ids = *known;
    this->resolution.emplace(this->wanted.write_id, this->wanted.expected,
                             known->empty() ? std::string() : known->front());
    this->send();
}

void etcd_write::read_base()
{
    const auto self = this->shared_from_this();
    this->caller->post_repeatable(
        "/v3/kv/range", get_body(this->wanted.key), call_lane::normal,
        [self](const call_end& end)
        {
            if (end.how != call_end::kind::answered)
            {
                self->fail(error_code::store_unavailable, end.reason);
                return;
            }
            const auto answer = parse_range(end.body);
            if (answer.has_error())
            {
                self->fail(error_code::store_unavailable, answer.error());
                return;
            }
            std::optional<stored_key> current;
            if (!answer.value().keys.empty())
            {
                current = answer.value().keys.front();
            }
            if (!current || current->revision != self->wanted.expected)
            {
                self->finish(write_verdict::not_applied, std::move(current));
                return;
            }
            read_value(*current, *self->write_ids);
            self->start();
        });
}

std::string etcd_write::body()
{
    if (!this->wanted.value)
    {
        return erase_body(this->wanted.key, this->wanted.expected);
    }
    std::string bytes = *this->wanted.value;
    if (has_envelope(this->wanted.key))
    {
        this->sent_ids =
            extend_write_ids(this->resolution->next_copy_id(), this->base_ids);
        bytes =
            encode_envelope(write_envelope{this->sent_ids, std::move(bytes)});
    }
    return put_body(this->wanted.key, this->wanted.expected, bytes,
                    this->wanted.lease);
}

void etcd_write::send()
{
    const auto self = this->shared_from_this();
    this->caller->post("/v3/kv/txn", this->body(), call_lane::normal,
                       [self](const call_end& end) { self->handle_end(end); });
}

void etcd_write::handle_end(const call_end& end)
{
    this->last_reason = end.reason;
    if (end.how == call_end::kind::refused)
    {
        const auto verdict = this->resolution->refused();
        const error_code refusal = this->wanted.lease == store_lease()
                                       ? end.reason.code
                                       : error_code::lease_lost;
        this->fail(verdict == write_verdict::unknown
                       ? error_code::store_outcome_unknown
                       : refusal,
                   end.reason);
        return;
    }
    if (end.how == call_end::kind::answered)
    {
        const auto answer = parse_transaction(end.body);
        if (answer.has_value())
        {
            this->handle_answer(answer.value());
            return;
        }
        this->last_reason = answer.error();
    }
    if (end.how != call_end::kind::not_sent)
    {
        this->resolution->answer_lost();
    }
    this->retry();
}

void etcd_write::handle_answer(const transaction_answer& answer)
{
    if (answer.succeeded)
    {
        this->resolution->succeeded();
        this->finish_applied(answer.revision);
        return;
    }
    store_revision revision;
    std::vector<std::string> ids;
    if (answer.current)
    {
        revision = answer.current->revision;
        if (const auto envelope = decode_envelope(answer.current->bytes))
        {
            ids = envelope->write_ids;
        }
    }
    if (revision == this->wanted.expected)
    {
        // The answer contradicts itself; nothing follows from it.
        this->resolution->answer_lost();
        this->retry();
        return;
    }
    this->finish(this->resolution->failed(revision, ids), answer.current);
}

void etcd_write::retry()
{
    const duration pause = this->pauses.next(this->caller->random());
    if (net::event_loop::now() + pause >= this->give_up_at)
    {
        const auto verdict = this->resolution->give_up();
        this->fail(verdict == write_verdict::unknown
                       ? error_code::store_outcome_unknown
                       : error_code::store_unavailable,
                   this->last_reason);
        return;
    }
    // A write of which no copy was sent is refused at once in an outage.
    if (!this->resolution->has_lost_answers() && !this->caller->is_reachable())
    {
        this->resolution->give_up();
        this->fail(error_code::store_unavailable, this->last_reason);
        return;
    }
    const auto self = this->shared_from_this();
    this->caller->after(pause, [self] { self->send(); });
}

void etcd_write::finish_applied(store_revision revision)
{
    swap_outcome outcome;
    outcome.applied = true;
    if (this->wanted.value)
    {
        outcome.current = versioned_value{*this->wanted.value, revision};
        if (has_envelope(this->wanted.key))
        {
            this->write_ids->remember(this->wanted.key, revision,
                                      this->sent_ids);
        }
    }
    this->callback(std::move(outcome));
}

void etcd_write::finish(write_verdict verdict,
                        std::optional<stored_key> current)
{
    if (verdict == write_verdict::unknown)
    {
        this->fail(error_code::store_outcome_unknown, this->last_reason);
        return;
    }
    swap_outcome outcome;
    outcome.applied = verdict == write_verdict::applied;
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
        failure.message = "the store's answer to a write of " +
                          this->wanted.key + " was lost: " + reason.message;
    }
    this->callback(std::move(failure));
}

} // namespace parsleytrack::key_value::detail
