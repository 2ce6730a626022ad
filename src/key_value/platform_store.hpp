#pragma once

#include "key_value/store_lease.hpp"
#include "key_value/swap_outcome.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <concepts>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack::key_value
{

/// A key of a listing and its value.
using listed_value = std::pair<std::string, versioned_value>;

using get_callback =
    std::function<void(result<std::optional<versioned_value>>)>;
using list_callback = std::function<void(result<std::vector<listed_value>>)>;
/// Fails with error_code::store_outcome_unknown when the value may have been
/// written, and with error_code::store_unavailable when it was not.
using swap_callback = std::function<void(result<swap_outcome>)>;
using lease_callback = std::function<void(result<store_lease>)>;
/// Receives a key that has changed, and its value; no value if it was deleted.
using watch_callback =
    std::function<void(const std::string&, std::optional<versioned_value>)>;

/// A watch on the keys of a prefix; destroying it ends the watch.
class watch_handle
{
public:
    virtual ~watch_handle() = default;
};

/// The interface to the platform's store. Callbacks are never called before the
/// function that takes them has returned. A compare-and-swap compares the key's
/// revision; revision 0 stands for "the key must be absent".
template <class Store>
concept platform_store = requires(Store store, const std::string& text,
                                  store_revision revision, store_lease lease,
                                  duration span, std::size_t limit)
{
    store.get(text, get_callback());
    store.list(text, text, limit, list_callback());
    store.compare_and_swap(text, revision, text, lease, swap_callback());
    store.erase(text, revision, swap_callback());
    store.grant_lease(span, lease_callback());
    store.keep_alive(lease, lease_callback());
    store.revoke(lease, lease_callback());
    {
        store.watch(text, watch_callback())
        } -> std::same_as<std::unique_ptr<watch_handle>>;
    {
        store.is_reachable()
        } -> std::same_as<bool>;
};

} // namespace parsleytrack::key_value
