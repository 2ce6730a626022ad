#include "decisions/lot_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace parsleytrack;

namespace
{

constexpr duration fault_time = std::chrono::seconds(120);
constexpr duration longest_recovery = std::chrono::minutes(60);
constexpr duration item_deadline = std::chrono::seconds(30);

error failed(error_code code)
{
    return error{code, "", ran_state::no, {}};
}

} // namespace

lot_fleet::lot_fleet(std::uint64_t seed) : random(seed), nodes(node_count)
{
    this->faults_end = this->now + fault_time;
    if (this->chance(0.4))
    {
        this->cancel_at =
            this->now + item_deadline * (this->draw(100) + 1) / 40;
    }
}

bool lot_fleet::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

int lot_fleet::draw(int limit)
{
    return std::uniform_int_distribution<>(0, limit - 1)(this->random);
}

bool lot_fleet::faults() const
{
    return this->now < this->faults_end;
}

void lot_fleet::later(duration delay, std::function<void()> callback)
{
    this->calendar.emplace(this->now + delay, std::move(callback));
}

bool lot_fleet::run()
{
    const time_point limit = this->faults_end + longest_recovery;
    const auto complete = [this]
    {
        return this->stored && this->stored->record.complete();
    };
    while (this->now < limit && (this->faults() || !complete()))
    {
        this->step();
    }
    return complete();
}

void lot_fleet::step()
{
    ++this->steps;
    this->now += tick_length;
    while (!this->calendar.empty() &&
           this->calendar.begin()->first <= this->now)
    {
        const auto callback = std::move(this->calendar.begin()->second);
        this->calendar.erase(this->calendar.begin());
        callback();
    }
    if (this->cancel_at && *this->cancel_at <= this->now && !this->cancelled)
    {
        this->cancel_job();
    }
    this->run_gates();
    if (this->faults())
    {
        this->break_something();
    }
    for (int number = 0; number < node_count; ++number)
    {
        this->step_node(number);
    }
}

void lot_fleet::break_something()
{
    if (this->chance(0.002))
    {
        this->outage_until = this->now + tick_length * (this->draw(500) + 1);
    }
    node& victim = this->nodes[this->draw(node_count)];
    if (this->chance(0.004))
    {
        victim.paused = true;
        victim.thaw_at = this->now + tick_length * this->draw(1000);
    }
    if (this->chance(0.002))
    {
        victim.owner.reset();
        ++victim.serial;
    }
    if (this->chance(0.002))
    {
        const int gate = this->draw(node_count);
        std::erase_if(this->running, [gate](const execution& run)
                      { return run.gate == gate; });
        for (node& other : this->nodes)
        {
            if (other.owner && !other.paused)
            {
                other.owner->drop_gates(
                    this->now, [gate](const node_id& id)
                    { return id.str() == std::to_string(gate); });
            }
        }
    }
}

void lot_fleet::step_node(int number)
{
    node& self = this->nodes[number];
    if (self.paused && this->now < self.thaw_at)
    {
        return;
    }
    const bool thawed = std::exchange(self.paused, false);
    if (thawed)
    {
        // The worst order: pulls that waited in the sockets come first.
        this->pull(number);
    }
    for (const auto& message : std::exchange(self.inbox, {}))
    {
        message();
    }
    if (!self.owner)
    {
        this->start_owner(number);
        return;
    }
    self.owner->tick(this->now);
    if (const auto action = self.owner->next_action(this->now))
    {
        this->carry_out(number, *action);
    }
    if (this->chance(0.1))
    {
        this->pull(number);
    }
    if (self.owner->is_active() && this->faults() && this->chance(0.001))
    {
        self.owner->release();
    }
    if (self.owner->is_over())
    {
        this->lost_owners += self.owner->is_complete() ? 0 : 1;
        self.owner.reset();
        ++self.serial;
    }
}

void lot_fleet::start_owner(int number)
{
    if ((this->stored && this->stored->record.complete()) ||
        !this->chance(0.01))
    {
        return;
    }
    std::vector<lot_item> items;
    for (int index = 0; index < item_count; ++index)
    {
        items.push_back(
            {service_name("rota-llm"), "rota", is_idempotent(index)});
    }
    lot_limits limits;
    limits.attempt_timeout = std::chrono::seconds(20);
    limits.non_idempotent_timeout = std::chrono::seconds(20);
    this->nodes[number].owner = std::make_unique<lot_owner>(
        node_id(std::to_string(number)), this->random(), limits, items,
        [this](const node_id& other)
        {
            // Opinions on who is alive are wrong at times.
            const bool holds =
                this->nodes[std::stoi(other.str())].owner != nullptr;
            return holds && !(this->faults() && this->chance(0.05));
        });
}

void lot_fleet::answer(int number, int serial, std::function<void()> callback)
{
    node& target = this->nodes[number];
    target.inbox.push_back(
        [this, number, serial, callback = std::move(callback)]
        {
            if (this->nodes[number].serial == serial &&
                this->nodes[number].owner)
            {
                callback();
            }
        });
}

void lot_fleet::carry_out(int number, const lot_action& action)
{
    const int serial = this->nodes[number].serial;
    const duration delay = tick_length * (this->draw(10) + 1);
    this->later(
        delay,
        [this, number, serial, action]
        {
            lot_owner* owner = this->nodes[number].owner.get();
            const bool down =
                this->faults() &&
                ((this->outage_until && this->now < *this->outage_until) ||
                 this->chance(0.05));
            if (std::holds_alternative<swap_lot_record>(action))
            {
                this->swap(number, serial, std::get<swap_lot_record>(action));
                return;
            }
            if (std::holds_alternative<write_result_segment>(action))
            {
                const auto& results =
                    std::get<write_result_segment>(action).results;
                const segment_id id("s" +
                                    std::to_string(this->segments.size()));
                this->segments[id.str()] = results;
                this->answer(number, serial,
                             [this, owner, down, id]
                             {
                                 owner->on_written(
                                     this->now,
                                     down ? result<placement>(failed(
                                                error_code::too_few_keepers))
                                          : placement{id, {}});
                             });
                return;
            }
            const auto seen = this->stored;
            const bool was_cancelled = this->cancelled;
            const bool is_job = std::holds_alternative<read_job_record>(action);
            this->answer(
                number, serial,
                [this, owner, down, seen, is_job, was_cancelled]
                {
                    const error reason = failed(error_code::store_unavailable);
                    if (is_job)
                    {
                        owner->on_job(this->now,
                                      down ? result<job_state>(reason)
                                      : was_cancelled ? job_state::cancelled
                                                      : job_state::open);
                        return;
                    }
                    using record_result =
                        result<std::optional<seen_lot_record>>;
                    owner->on_record(this->now, down ? record_result(reason)
                                                     : record_result(seen));
                });
        });
}

void lot_fleet::swap(int number, int serial, const swap_lot_record& action)
{
    lot_owner* owner = this->nodes[number].owner.get();
    const auto tell =
        [this, number, serial, owner](const result<lot_swap_outcome>& outcome)
    {
        this->answer(number, serial,
                     [this, owner, outcome]
                     { owner->on_swap(this->now, outcome); });
    };
    if (!this->faults())
    {
        tell(this->apply(action));
        return;
    }
    if (this->outage_until && this->now < *this->outage_until)
    {
        tell(failed(error_code::store_unavailable));
        return;
    }
    switch (this->draw(20))
    {
    case 0:
        tell(failed(error_code::store_unavailable));
        return;
    case 1:
        this->apply(action);
        tell(failed(error_code::store_outcome_unknown));
        return;
    case 2:
        tell(failed(error_code::store_outcome_unknown));
        return;
    case 3:
        // The write arrives long after its caller has given up on it.
        this->later(tick_length * this->draw(500),
                    [this, action] { this->apply(action); });
        tell(failed(error_code::store_outcome_unknown));
        return;
    default:
        tell(this->apply(action));
    }
}

lot_swap_outcome lot_fleet::apply(const swap_lot_record& action)
{
    const store_revision present =
        this->stored ? this->stored->revision : store_revision();
    if (present != action.expected)
    {
        return {false, this->stored};
    }
    this->takeovers +=
        this->stored && this->stored->record.epoch != action.next.epoch;
    this->stored = seen_lot_record{action.next, present.next()};
    this->observe();
    return {true, this->stored};
}

void lot_fleet::observe()
{
    const lot_record& record = this->stored->record;
    CHECK(record.results.size() >= this->results_seen);
    for (; this->results_seen < record.results.size(); ++this->results_seen)
    {
        const auto& name = record.results[this->results_seen].segment.str();
        for (const item_result& result : this->segments.at(name))
        {
            CHECK(this->visible.emplace(result.index, result).second);
            CHECK(record.ended[result.index]);
        }
    }
    LONGS_EQUAL(this->visible.size(), record.ended_count());
}

void lot_fleet::cancel_job()
{
    this->cancelled = true;
    for (int number = 0; number < node_count; ++number)
    {
        this->later(tick_length * this->draw(40),
                    [this, number]
                    {
                        this->nodes[number].inbox.push_back(
                            [this, number]
                            {
                                if (this->nodes[number].owner)
                                {
                                    this->nodes[number].owner->end_all(
                                        this->now, job_state::cancelled);
                                }
                            });
                    });
    }
}
