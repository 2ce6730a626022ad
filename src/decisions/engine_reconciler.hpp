#pragma once

#include "decisions/catalogue.hpp"
#include "decisions/engine_plan.hpp"
#include "decisions/engine_state.hpp"
#include "decisions/order_step.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"
#include "units/time.hpp"

#include <map>
#include <optional>

namespace parsleytrack
{

/// Brings one engine into line with the release, as its gate. It looks at the
/// engine's reported set again and again, so an order that was lost, came late
/// or was undone by an order of another gate is made good.
class engine_reconciler
{
public:
    /// How long an order may take; a lease lasts at least that much longer.
    static constexpr duration order_timeout = std::chrono::seconds(2);

    /// What the gate holds for this engine.
    struct holdings
    {
        /// Without the gate no orders are sent; a load that was begun is only
        /// followed to its end.
        bool is_gate = true;
        /// End of the lease on orders; absent when it is not held.
        std::optional<time_point> lease_until;
        /// When the lease was taken.
        time_point lease_since;
        /// Whether the load budget has a slot for another load.
        bool slot_free = false;
    };

    /// \param service The engine's service.
    /// \param checks_fencing Whether the settings say that it refuses orders
    /// with an old number.
    engine_reconciler(service_name service, bool checks_fencing);

    /// Decides what to do. Called often; when it says to read the state or to
    /// send an order, that is taken as begun.
    order_step next(const catalogue& release, const holdings& held,
                    time_point now);

    /// The engine has reported its state.
    ///
    /// \returns Whether a load of this gate has ended, so that its slot is
    /// free.
    bool take_state(engine_state state, time_point now);

    /// The engine did not report its state.
    ///
    /// \returns Whether a load has ended, as with take_state().
    bool state_failed(time_point now);

    /// The order was answered with "accepted".
    void order_accepted(time_point now);

    /// The engine has refused the order for its number.
    ///
    /// \returns Whether the order held a load, so that its slot is free.
    bool order_refused(time_point now);

    /// The order's answer was lost; it may still take effect.
    void order_lost(time_point now);

    /// \returns What is left to do, as far as it is known.
    const engine_plan& remaining() const { return this->plan; }

    /// \returns Whether remaining() is about this release.
    bool has_looked_at(const catalogue& release) const
    {
        return this->planned_for == release.version;
    }

    /// \returns Why nothing is done about it; empty otherwise.
    std::string_view waits_for() const { return this->waiting_for; }

    /// \returns Whether a load that was ordered here may be running.
    bool is_loading() const { return this->loading.has_value(); }

private:
    struct own_load
    {
        engine_part part;
        time_point since;
    };

    /// Loads of a part that came to nothing, one after the other.
    struct failure
    {
        int count = 0;
        time_point retry_at;
    };

    bool must_read(const catalogue& release, const holdings& held,
                   time_point now) const;
    std::optional<std::string_view> obstacle(const catalogue& release) const;
    std::optional<std::string_view> lease_obstacle(const holdings& held,
                                                   time_point now) const;
    bool is_fenced() const;
    std::vector<engine_part> unloads_due(time_point now);
    bool is_replaced(const engine_part& part) const;
    const engine_part* next_load(time_point now) const;
    void note_load_end(const engine_part& part, bool loaded, time_point now);
    fencing_number next_number(const catalogue& release);
    void end_order(time_point now);
    bool end_load_if_over(time_point now);

    service_name service;
    bool checks_fencing;
    std::optional<engine_state> seen;
    time_point asked_at;
    bool reading = false;
    bool ordering = false;
    std::optional<time_point> order_ended_at;
    std::optional<time_point> pause_until;
    std::optional<own_load> loading;
    bool load_in_order = false;
    std::map<engine_part, failure> failures;
    epoch_number epoch;
    release_version epoch_release;
    fencing_number last_number;
    engine_plan plan;
    release_version planned_for;
    std::string_view waiting_for;
    /// Since when an old version waits for the one that replaces it.
    std::map<engine_part, time_point> replaced_since;
};

} // namespace parsleytrack
