#include "daemon/once_module.hpp"

#include "daemon/call_set.hpp"
#include "daemon/once_codec.hpp"
#include "daemon/once_shards.hpp"
#include "decisions/rendezvous.hpp"
#include "logging/log.hpp"
#include "storage/segment_store.hpp"

#include <map>
#include <utility>
#include <vector>

namespace parsleytrack
{

namespace
{

using outcome_callback = std::function<void(once_outcome)>;
using grant_callback = std::function<void(result<once_grant>)>;

constexpr duration ask_again_after = std::chrono::seconds(2);
constexpr duration forward_timeout = std::chrono::seconds(3);
constexpr duration drain_poll = std::chrono::milliseconds(100);
constexpr int drain_polls = 50;
/// Larger answers lie with the keepers and not in the page.
constexpr std::size_t max_inline_bytes = 1024;
/// Claims of callers that never came back are forgotten in the end.
constexpr duration claim_lifetime = std::chrono::minutes(30);
constexpr duration sweep_interval = std::chrono::minutes(1);

std::string make_key(const workspace_name& workspace,
                     const idempotency_key& key)
{
    std::string name = workspace.str();
    name.push_back('\0');
    name += key.str();
    return storage::checksum_of(name).str();
}

error not_run(error_code code, std::string message)
{
    return error{code, std::move(message), ran_state::no, ask_again_after};
}

error may_have_run()
{
    return error{error_code::may_have_run,
                 "a call with this Idempotency-Key was begun and its outcome "
                 "is not known; it is not sent again",
                 ran_state::unknown, ask_again_after};
}

once_grant make_grant(const once_entry& entry, std::string body)
{
    return once_grant{
        false, once_answer{entry.status, entry.content_type, std::move(body)}};
}

} // namespace

struct once_module::state
{
    struct held_claim
    {
        std::uint64_t claim = 0;
        time_point since;
    };

    state(node_context& node, storage_module* segments)
        : context(node), storage(segments), calls(node), shards(node)
    {
    }

    std::vector<std::string> live_nodes() const
    {
        std::vector<std::string> names;
        for (const auto& [id, node] : this->context.fleet.nodes())
        {
            if (node.state == node_state::alive)
            {
                names.push_back(id.str());
            }
        }
        return names;
    }

    /// Has the page's usual node agree on an operation, so that operations of
    /// all nodes share its writes. Any other node may do it as well.
    void agree(const once_operation& operation, outcome_callback done)
    {
        const auto names = this->live_nodes();
        const auto best = rendezvous_rank(
            names,
            "once-" + std::to_string(once_shards::shard_of(operation.key)), 1);
        const node_info* node =
            best.empty()
                ? nullptr
                : this->context.fleet.find_node(node_id(names[best.front()]));
        if (node == nullptr || node->id == this->context.settings.id)
        {
            this->shards.submit(operation, std::move(done));
            return;
        }
        this->calls.call(
            node->peer, wire::message_type::once_call,
            encode_once_operation(operation), forward_timeout,
            [this, operation,
             done = std::move(done)](const result<std::string>& answer)
            {
                const auto outcome = answer.has_error()
                                         ? result<once_outcome>(answer.error())
                                         : decode_once_outcome(answer.value());
                if (outcome.has_value())
                {
                    done(outcome.value());
                    return;
                }
                // The claim makes the repetition harmless.
                this->context.metrics.count(
                    "parsleytrack_once_forward_retries_total",
                    {{"reason", std::string(to_string(outcome.error().code))}});
                this->shards.submit(operation, done);
            });
    }

    void finish_acquire(const std::string& key, std::uint64_t claim,
                        const once_outcome& outcome,
                        const grant_callback& callback);
    void read_answer(const once_entry& entry, const grant_callback& callback);
    void refuse(const error& reason, const grant_callback& callback) const;

    node_context& context;
    storage_module* storage;
    call_set calls;
    once_shards shards;
    std::map<std::string, held_claim> claims;
    net::timer sweep_timer;
    net::timer drain_timer;
};

void once_module::state::refuse(const error& reason,
                                const grant_callback& callback) const
{
    this->context.metrics.count(
        "parsleytrack_refusals_total",
        {{"reason", std::string(to_string(reason.code))}});
    callback(reason);
}

void once_module::state::finish_acquire(const std::string& key,
                                        std::uint64_t claim,
                                        const once_outcome& outcome,
                                        const grant_callback& callback)
{
    using kind = once_outcome::kind;
    switch (outcome.what)
    {
    case kind::granted:
        this->claims[key] = held_claim{claim, net::event_loop::now()};
        callback(once_grant{true, {}});
        return;
    case kind::recorded:
        this->read_answer(outcome.entry, callback);
        return;
    case kind::conflict:
        this->refuse(error{error_code::conflict,
                           "the Idempotency-Key belongs to another call",
                           ran_state::no,
                           {}},
                     callback);
        return;
    case kind::full:
        this->refuse(not_run(error_code::overloaded,
                             "no further idempotency keys can be kept"),
                     callback);
        return;
    case kind::may_have_run:
        this->refuse(may_have_run(), callback);
        return;
    default:
        this->refuse(not_run(error_code::store_unavailable,
                             "the platform's store cannot be reached, so the "
                             "call cannot be kept from running twice"),
                     callback);
        return;
    }
}

void once_module::state::read_answer(const once_entry& entry,
                                     const grant_callback& callback)
{
    if (entry.body_segment.segment.empty())
    {
        callback(make_grant(entry, entry.body));
        return;
    }
    if (this->storage == nullptr)
    {
        this->refuse(may_have_run(), callback);
        return;
    }
    this->storage->fetch(
        entry.body_segment.segment, entry.body_segment.holders,
        [this, entry, callback](const result<std::string>& bytes)
        {
            if (bytes.has_error())
            {
                this->refuse(may_have_run(), callback);
                return;
            }
            callback(make_grant(entry, bytes.value()));
        });
}

once_module::once_module(node_context& node, storage_module* segments)
    : contents(std::make_shared<state>(node, segments))
{
    state& self = *this->contents;
    node.peers.on_call(
        wire::message_type::once_call,
        [&self](const std::shared_ptr<wire::peer_exchange>& exchange)
        {
            const auto operation = decode_once_operation(exchange->request());
            if (operation.has_error())
            {
                exchange->fail(operation.error());
                return;
            }
            self.shards.submit(
                operation.value(), [exchange](const once_outcome& outcome)
                { exchange->finish(encode_once_outcome(outcome)); });
        });
    self.sweep_timer = node.loop.call_every(
        sweep_interval,
        [&self]
        {
            const time_point now = net::event_loop::now();
            std::erase_if(self.claims,
                          [now](const auto& entry) {
                              return now - entry.second.since > claim_lifetime;
                          });
        });
}

once_module::~once_module() = default;

void once_module::acquire(const workspace_name& workspace,
                          const idempotency_key& key,
                          const std::string& fingerprint,
                          grant_callback callback)
{
    state& self = *this->contents;
    once_operation operation;
    operation.what = once_operation::kind::acquire;
    operation.key = make_key(workspace, key);
    operation.entry.fingerprint = storage::checksum_of(fingerprint).str();
    operation.entry.claim = self.context.random();
    operation.entry.holder = self.context.settings.id;
    self.agree(operation,
               [&self, operation,
                callback = std::move(callback)](const once_outcome& outcome)
               {
                   self.finish_acquire(operation.key, operation.entry.claim,
                                       outcome, callback);
               });
}

void once_module::record(const workspace_name& workspace,
                         const idempotency_key& key, const once_answer& answer,
                         std::function<void(result<bool>)> callback)
{
    state& self = *this->contents;
    once_operation operation;
    operation.what = once_operation::kind::record;
    operation.key = make_key(workspace, key);
    const auto held = self.claims.extract(operation.key);
    if (held.empty())
    {
        self.context.loop.post(
            [callback = std::move(callback)]
            {
                callback(error{error_code::lease_lost,
                               "the key is not held here",
                               ran_state::unknown,
                               {}});
            });
        return;
    }
    operation.entry.claim = held.mapped().claim;
    operation.entry.state = once_entry::stage::answered;
    operation.entry.status = answer.status;
    operation.entry.content_type = answer.content_type;
    const auto agree =
        [&self, callback = std::move(callback)](const once_operation& complete)
    {
        self.agree(complete,
                   [callback](const once_outcome& outcome)
                   {
                       if (outcome.what == once_outcome::kind::done)
                       {
                           callback(true);
                           return;
                       }
                       callback(error{error_code::store_unavailable,
                                      "the answer could not be kept",
                                      ran_state::unknown,
                                      {}});
                   });
    };
    if (answer.body.size() <= max_inline_bytes)
    {
        operation.entry.body = answer.body;
        agree(operation);
        return;
    }
    if (self.storage == nullptr)
    {
        operation.entry.state = once_entry::stage::answer_dropped;
        agree(operation);
        return;
    }
    self.storage->put_everywhere(
        answer.body,
        [operation, agree](const result<placement>& where) mutable
        {
            if (where.has_value())
            {
                operation.entry.body_segment = where.value();
            }
            else
            {
                operation.entry.state = once_entry::stage::answer_dropped;
            }
            agree(operation);
        });
}

void once_module::release_unsent(const workspace_name& workspace,
                                 const idempotency_key& key)
{
    state& self = *this->contents;
    once_operation operation;
    operation.what = once_operation::kind::release;
    operation.key = make_key(workspace, key);
    const auto held = self.claims.extract(operation.key);
    if (held.empty())
    {
        return;
    }
    operation.entry.claim = held.mapped().claim;
    self.agree(operation,
               [](const once_outcome& outcome)
               {
                   if (outcome.what != once_outcome::kind::done)
                   {
                       log_event(log_level::warning, "once_release_failed");
                   }
               });
}

void once_module::drain(std::function<void()> done)
{
    state& self = *this->contents;
    const auto polls = std::make_shared<int>(drain_polls);
    self.drain_timer = self.context.loop.call_every(
        drain_poll,
        [&self, polls, done = std::move(done)]
        {
            if (self.claims.empty() || --*polls <= 0)
            {
                self.context.loop.post(
                    [&self, done]
                    {
                        self.drain_timer.cancel();
                        done();
                    });
            }
        });
}

} // namespace parsleytrack
