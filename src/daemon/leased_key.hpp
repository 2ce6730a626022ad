#pragma once

#include "daemon/node_context.hpp"

#include <memory>
#include <optional>
#include <string>

namespace parsleytrack
{

/// A key of the store that one node at a time holds under a lease.
class leased_key
{
public:
    enum class phase
    {
        idle,
        /// Calls to the store are under way.
        busy,
        held
    };

    /// \param node What the modules share.
    /// \param key The key.
    /// \param time_to_live The lease's time to live.
    leased_key(node_context& node, std::string key, duration time_to_live);

    /// Gives the key back.
    ~leased_key();
    leased_key(const leased_key&) = delete;
    leased_key& operator=(const leased_key&) = delete;

    /// Tries to take the key; it fails when another holds it.
    void take();

    /// The same, where the key was just read and found absent.
    void take_absent();

    /// Renews the lease, unless a call is under way.
    void renew();

    /// Gives the key back.
    void release();

    phase current_phase() const { return this->state; }

    /// \returns Whether the last try found that another holds the key.
    bool is_taken_by_other() const { return this->other_holds; }

    /// \returns The end of the lease, counted from before the call that
    /// granted or renewed it; absent when the key is not held.
    std::optional<time_point> valid_until() const;

    /// \returns When the key was taken.
    time_point held_since() const { return this->since; }

    /// \returns When the lease was last asked for.
    time_point renewed_at() const { return this->asked_at; }

private:
    void grant();
    void create(key_value::store_lease granted);
    void handle_create(key_value::store_lease granted,
                       const result<key_value::swap_outcome>& end);
    void revoke(key_value::store_lease granted);

    node_context& context;
    std::string name;
    duration lifetime;
    phase state = phase::idle;
    bool other_holds = false;
    bool renewing = false;
    key_value::store_lease lease;
    time_point asked_at;
    time_point since;
    std::optional<time_point> until;
    /// Freed with this object, so that late answers find nobody.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace parsleytrack
