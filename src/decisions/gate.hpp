#pragma once

#include "decisions/admission.hpp"
#include "decisions/batch_queue.hpp"
#include "decisions/contention.hpp"
#include "decisions/fair_queue.hpp"
#include "decisions/foreign_work.hpp"
#include "decisions/gate_command.hpp"
#include "decisions/gate_options.hpp"
#include "decisions/gate_status.hpp"
#include "decisions/replica_health.hpp"
#include "decisions/running_set.hpp"
#include "decisions/trade_setting.hpp"
#include "decisions/work_end.hpp"
#include "decisions/workspace_usage.hpp"

#include <optional>
#include <vector>

namespace parsleytrack
{

/// Decides what one replica runs. It never sends more than the replica has
/// slots, so nothing waits inside the replica: online work is started while
/// slots are free, batch work only beyond a reserve, and when online work has
/// to wait, batch work is cancelled at once and goes on later.
///
/// Each call may add commands; take_commands() hands them over in order.
class gate
{
public:
    /// \param gate_options How the replica is used.
    /// \param now When this gate takes the replica over.
    gate(const gate_options& gate_options, time_point now);

    /// Adds a request or batch item: it is started, queued or refused.
    void submit(const gate_work& work, time_point now);

    /// Started work has given a piece of output.
    void output(work_id id, time_point now);

    /// Started work has ended and no longer takes a slot.
    void finish(work_id id, work_end how, time_point now);

    /// Nobody wants the work any more: waiting work is forgotten, running work
    /// is stopped.
    void cancel(work_id id, time_point now);

    /// The replica has reported its load.
    ///
    /// \param reported Work running and waiting there, as it was some time ago.
    void report_load(int reported, time_point now);

    /// A pull has come to its end. To be called once for each pull_work,
    /// after its items were submitted.
    ///
    /// \param received Items that came.
    /// \param retry_after When to ask again where nothing came.
    void pull_done(int received, duration retry_after, time_point now);

    /// Says whether there are batch items to pull anywhere.
    void offer_batch(bool available, time_point now);

    /// Gives up the replica: all work that was not started is handed back, and
    /// nothing more is started.
    ///
    /// \param stop_batch Whether running batch work is cancelled and handed
    /// back as well, where it would hold up a planned stop.
    /// \param now The time.
    void close(bool stop_batch, time_point now);

    /// Acts on what is due. To be called at wakeup() or more often.
    void tick(time_point now);

    /// \returns When tick() is next needed; nothing when no time matters.
    std::optional<time_point> wakeup(time_point now) const;

    /// \returns What is to be done, in order, and forgets it.
    std::vector<gate_command> take_commands();

    gate_status status(time_point now) const;

    /// \returns Whether nothing runs and nothing waits.
    bool idle() const;

private:
    void submit_online(const gate_work& work, time_point now);
    void submit_batch(const gate_work& work);
    void pump(time_point now);
    void expire(time_point now);
    void start_online(time_point now);
    void start_batch(time_point now);
    void note_waiting(time_point now);
    void preempt_unstarted();
    void preempt(time_point now);
    void pull(time_point now);
    void hear(time_point now);
    void start(const gate_work& work, time_point now);
    void stop(running_set::entry& work);
    void return_batch();
    void refuse_all(error_code reason, time_point now);
    int free_slots(time_point now) const;
    int batch_room(time_point now) const;
    int startable_online(time_point now) const;
    /// Slots are kept from a workspace far over its share only after others
    /// have found none; free slots would serve nobody otherwise.
    bool exceeds_share(const workspace_name& workspace, time_point now) const;
    int share_reserve() const;
    int free_for_online(time_point now) const;
    void check(time_point now) const;

    gate_options options;
    time_point batch_held_until;
    fair_queue online;
    batch_queue batch;
    admission entry;
    replica_health health;
    contention slot_contention;
    time_point last_heard = time_point::min();
    foreign_work foreign;
    workspace_usage usage;
    trade_setting trade;
    running_set running;
    std::vector<gate_command> commands;
    /// Since when online work waits.
    std::optional<time_point> waiting_since;
    bool closed = false;
    bool batch_offered = false;
    bool pull_pending = false;
    time_point next_pull = time_point::min();
};

} // namespace parsleytrack
