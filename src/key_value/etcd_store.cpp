#include "key_value/etcd_store.hpp"

#include "key_value/etcd_caller.hpp"
#include "key_value/etcd_messages.hpp"
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

constexpr std::size_t remembered_keys = 4096;

std::string make_write_id(random_source& random)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(random()));
    return std::string(text.data());
}

// Ends the watch when its owner lets go of it.
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

error lease_error(const detail::call_end& end)
{
    error reason = end.reason;
    if (end.how == detail::call_end::kind::refused)
    {
        reason.code = error_code::lease_lost;
    }
    return reason;
}

// Ends a call that is answered with a lease.
detail::etcd_caller::end_callback expect_lease(lease_callback callback)
{
    return [callback = std::move(callback)](const detail::call_end& end)
    {
        if (end.how != detail::call_end::kind::answered)
        {
            callback(lease_error(end));
            return;
        }
        const auto answer = detail::parse_lease(end.body);
        if (answer.has_error())
        {
            callback(answer.error());
            return;
        }
        if (answer.value().time_to_live.count() <= 0)
        {
            callback(error{error_code::lease_lost,
                           "the lease has lapsed",
                           ran_state::no,
                           {}});
            return;
        }
        callback(answer.value().lease);
    };
}

} // namespace

struct etcd_store::state
{
    std::shared_ptr<detail::etcd_caller> caller;
    std::shared_ptr<write_id_cache> write_ids =
        std::make_shared<write_id_cache>(remembered_keys);

    void write(detail::etcd_write::request wanted, swap_callback callback)
    {
        wanted.write_id = make_write_id(this->caller->random());
        std::make_shared<detail::etcd_write>(this->caller, this->write_ids,
                                             std::move(wanted),
                                             std::move(callback))
            ->start();
    }
};

etcd_store::etcd_store(net::event_loop& event_loop, net::http_client& client,
                       std::vector<endpoint> addresses, int calls_per_s,
                       std::uint64_t seed)
    : contents(std::make_shared<state>())
{
    this->contents->caller = std::make_shared<detail::etcd_caller>(
        event_loop, client, std::move(addresses), calls_per_s, seed);
}

etcd_store::~etcd_store()
{
    this->contents->caller->shut_down();
}

void etcd_store::get(const std::string& key, get_callback callback)
{
    this->contents->caller->post_repeatable(
        "/v3/kv/range", detail::get_body(key), call_lane::normal,
        [ids = this->contents->write_ids,
         callback = std::move(callback)](const detail::call_end& end)
        {
            if (end.how != detail::call_end::kind::answered)
            {
                callback(end.reason);
                return;
            }
            const auto answer = detail::parse_range(end.body);
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            std::optional<versioned_value> value;
            if (!answer.value().keys.empty())
            {
                value = detail::read_value(answer.value().keys.front(), *ids);
            }
            callback(std::move(value));
        });
}

void etcd_store::list(const std::string& prefix, const std::string& after,
                      std::size_t limit, list_callback callback)
{
    const std::string first = after.empty() ? prefix : after + '\0';
    this->contents->caller->post_repeatable(
        "/v3/kv/range",
        detail::range_body(first, detail::end_of_prefix(prefix), limit),
        call_lane::normal,
        [ids = this->contents->write_ids,
         callback = std::move(callback)](const detail::call_end& end)
        {
            if (end.how != detail::call_end::kind::answered)
            {
                callback(end.reason);
                return;
            }
            const auto answer = detail::parse_range(end.body);
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            std::vector<listed_value> values;
            for (const detail::stored_key& entry : answer.value().keys)
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
    // A grant whose answer was lost leaves a lease behind that lapses unused.
    this->contents->caller->post_repeatable(
        "/v3/lease/grant", detail::grant_body(time_to_live), call_lane::urgent,
        expect_lease(std::move(callback)));
}

void etcd_store::keep_alive(store_lease lease, lease_callback callback)
{
    this->contents->caller->post_repeatable(
        "/v3/lease/keepalive", detail::lease_body(lease), call_lane::urgent,
        expect_lease(std::move(callback)));
}

void etcd_store::revoke(store_lease lease, lease_callback callback)
{
    this->contents->caller->post_repeatable(
        "/v3/lease/revoke", detail::lease_body(lease), call_lane::normal,
        [lease, callback = std::move(callback)](const detail::call_end& end)
        {
            if (end.how == detail::call_end::kind::answered)
            {
                callback(lease);
                return;
            }
            callback(lease_error(end));
        });
}

std::unique_ptr<watch_handle> etcd_store::watch(const std::string& prefix,
                                                watch_callback callback)
{
    auto watch = std::make_shared<detail::etcd_watch>(
        this->contents->caller, this->contents->write_ids, prefix,
        std::move(callback));
    watch->start();
    return std::make_unique<owned_watch>(std::move(watch));
}

bool etcd_store::is_reachable() const
{
    return this->contents->caller->is_reachable();
}

std::uint64_t etcd_store::calls_made() const
{
    return this->contents->caller->calls_made();
}

} // namespace parsleytrack::key_value
