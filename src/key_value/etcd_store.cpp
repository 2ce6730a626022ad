#include "key_value/etcd_store.hpp"

#include "key_value/etcd_messages.hpp"
#include "key_value/etcd_transport.hpp"
#include "key_value/etcd_watch.hpp"
#include "key_value/etcd_write.hpp"
#include "key_value/value_reader.hpp"
#include "key_value/write_id_cache.hpp"

#include <array>
#include <cstdio>
#include <utility>

namespace parsleytrack::key_value
{

namespace
{

constexpr std::size_t max_cached_keys = 4096;

std::string make_write_id(random_source& random)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(random()));
    return std::string(text.data());
}

// Stops the watch when the handle is destroyed.
class owned_watch : public watch_handle
{
public:
    explicit owned_watch(std::shared_ptr<detail::etcd_watch> started)
        : watch(std::move(started))
    {
    }
    ~owned_watch() override { this->watch->stop(); }
    owned_watch(const owned_watch&) = delete;
    owned_watch& operator=(const owned_watch&) = delete;

private:
    std::shared_ptr<detail::etcd_watch> watch;
};

error lease_error(const detail::call_outcome& outcome)
{
    error reason = outcome.reason;
    if (outcome.status == detail::call_outcome::status_kind::rejected)
    {
        reason.code = error_code::lease_lost;
    }
    return reason;
}

// Makes the handler of a call whose response describes a lease.
detail::etcd_transport::outcome_callback
make_lease_handler(lease_callback callback)
{
    return [callback = std::move(callback)](const detail::call_outcome& outcome)
    {
        if (outcome.status != detail::call_outcome::status_kind::succeeded)
        {
            callback(lease_error(outcome));
            return;
        }
        const auto response = detail::parse_lease(outcome.body);
        if (response.has_error())
        {
            callback(response.error());
            return;
        }
        if (response.value().time_to_live.count() <= 0)
        {
            callback(error{error_code::lease_lost,
                           "the lease has expired",
                           ran_state::no,
                           {}});
            return;
        }
        callback(response.value().lease);
    };
}

} // namespace

struct etcd_store::state
{
    std::shared_ptr<detail::etcd_transport> transport;
    std::shared_ptr<write_id_cache> write_ids =
        std::make_shared<write_id_cache>(max_cached_keys);

    void write(detail::etcd_write::request write_request,
               swap_callback callback)
    {
        write_request.write_id = make_write_id(this->transport->random());
        std::make_shared<detail::etcd_write>(this->transport, this->write_ids,
                                             std::move(write_request),
                                             std::move(callback))
            ->start();
    }
};

etcd_store::etcd_store(net::event_loop& event_loop, net::http_client& client,
                       std::vector<endpoint> addresses, int calls_per_s,
                       std::uint64_t seed)
    : contents(std::make_shared<state>())
{
    this->contents->transport = std::make_shared<detail::etcd_transport>(
        event_loop, client, std::move(addresses), calls_per_s, seed);
}

etcd_store::~etcd_store()
{
    this->contents->transport->shut_down();
}

void etcd_store::get(const std::string& key, get_callback callback)
{
    this->contents->transport->post_idempotent(
        "/v3/kv/range", detail::get_body(key), call_priority::normal,
        [ids = this->contents->write_ids,
         callback = std::move(callback)](const detail::call_outcome& outcome)
        {
            if (outcome.status != detail::call_outcome::status_kind::succeeded)
            {
                callback(outcome.reason);
                return;
            }
            const auto response = detail::parse_range(outcome.body);
            if (response.has_error())
            {
                callback(response.error());
                return;
            }
            std::optional<versioned_value> value;
            if (!response.value().keys.empty())
            {
                value = detail::read_value(response.value().keys.front(), *ids);
            }
            callback(std::move(value));
        });
}

void etcd_store::list(const std::string& prefix, const std::string& after,
                      std::size_t limit, list_callback callback)
{
    const std::string first = after.empty() ? prefix : after + '\0';
    this->contents->transport->post_idempotent(
        "/v3/kv/range",
        detail::range_body(first, detail::prefix_range_end(prefix), limit),
        call_priority::normal,
        [ids = this->contents->write_ids,
         callback = std::move(callback)](const detail::call_outcome& outcome)
        {
            if (outcome.status != detail::call_outcome::status_kind::succeeded)
            {
                callback(outcome.reason);
                return;
            }
            const auto response = detail::parse_range(outcome.body);
            if (response.has_error())
            {
                callback(response.error());
                return;
            }
            std::vector<listed_value> values;
            for (const detail::stored_key& entry : response.value().keys)
            {
                values.emplace_back(entry.key, detail::read_value(entry, *ids));
            }
            callback(std::move(values));
        });
}

void etcd_store::compare_and_swap(const std::string& key,
                                  store_revision expected,
                                  const std::string& value, store_lease lease,
                                  swap_callback callback)
{
    this->contents->write({key, expected, value, lease, std::string()},
                          std::move(callback));
}

void etcd_store::erase(const std::string& key, store_revision expected,
                       swap_callback callback)
{
    this->contents->write(
        {key, expected, std::nullopt, store_lease(), std::string()},
        std::move(callback));
}

void etcd_store::grant_lease(duration time_to_live, lease_callback callback)
{
    // A grant whose response was lost leaves an unused lease that expires.
    this->contents->transport->post_idempotent(
        "/v3/lease/grant", detail::grant_body(time_to_live),
        call_priority::urgent, make_lease_handler(std::move(callback)));
}

void etcd_store::keep_alive(store_lease lease, lease_callback callback)
{
    this->contents->transport->post_idempotent(
        "/v3/lease/keepalive", detail::lease_body(lease), call_priority::urgent,
        make_lease_handler(std::move(callback)));
}

void etcd_store::revoke(store_lease lease, lease_callback callback)
{
    this->contents->transport->post_idempotent(
        "/v3/lease/revoke", detail::lease_body(lease), call_priority::normal,
        [lease,
         callback = std::move(callback)](const detail::call_outcome& outcome)
        {
            if (outcome.status == detail::call_outcome::status_kind::succeeded)
            {
                callback(lease);
                return;
            }
            callback(lease_error(outcome));
        });
}

std::unique_ptr<watch_handle> etcd_store::watch(const std::string& prefix,
                                                watch_callback callback)
{
    auto watch = std::make_shared<detail::etcd_watch>(
        this->contents->transport, this->contents->write_ids, prefix,
        std::move(callback));
    watch->start();
    return std::make_unique<owned_watch>(std::move(watch));
}

bool etcd_store::is_reachable() const
{
    return this->contents->transport->is_reachable();
}

std::uint64_t etcd_store::calls_made() const
{
    return this->contents->transport->calls_made();
}

} // namespace parsleytrack::key_value
