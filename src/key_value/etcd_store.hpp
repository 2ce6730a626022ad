#pragma once

#include "key_value/platform_store.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "units/endpoint.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// Client of the platform's store, for the HTTP/JSON form of the etcd v3 API.
/// Keys under "parsleytrack/" belong to this product; their values are wrapped
/// in an envelope with write ids, so that a write whose response was lost can
/// be recognised later.
class etcd_store
{
public:
    /// \param addresses The store's addresses; the next one is used after a
    /// failure.
    /// \param calls_per_s Most calls a second; further ones are queued.
    /// \param seed Seeds the write ids and the jitter.
    etcd_store(net::event_loop& event_loop, net::http_client& client,
               std::vector<endpoint> addresses, int calls_per_s,
               std::uint64_t seed);
    ~etcd_store();
    etcd_store(const etcd_store&) = delete;
    etcd_store& operator=(const etcd_store&) = delete;

    /// Reads a key; the value is absent when the key does not exist.
    void get(const std::string& key, get_callback callback);

    /// Lists the keys that begin with a prefix, in order.
    ///
    /// \param after Only keys greater than this one; empty for all.
    /// \param limit The most keys to return.
    void list(const std::string& prefix, const std::string& after,
              std::size_t limit, list_callback callback);

    /// Writes a key if it still has the expected revision.
    ///
    /// \param expected The revision that was read; 0 for "absent".
    /// \param lease The key is deleted when this lease ends; 0 for "none".
    void compare_and_swap(const std::string& key, store_revision expected,
                          const std::string& value, store_lease lease,
                          swap_callback callback);

    /// Deletes a key if it still has the expected revision.
    void erase(const std::string& key, store_revision expected,
               swap_callback callback);

    void grant_lease(duration time_to_live, lease_callback callback);
    void keep_alive(store_lease lease, lease_callback callback);
    void revoke(store_lease lease, lease_callback callback);

    /// Watches all keys that begin with a prefix. The current values are
    /// reported first, and again after an outage.
    [[nodiscard]] std::unique_ptr<watch_handle> watch(const std::string& prefix,
                                                      watch_callback callback);

    /// \returns Whether no outage has been detected.
    bool is_reachable() const;

    /// \returns The number of calls sent so far.
    std::uint64_t calls_made() const;

private:
    struct state;
    std::shared_ptr<state> contents;
};

static_assert(platform_store<etcd_store>);

} // namespace parsleytrack::key_value
