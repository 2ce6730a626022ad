#include "decisions/once_ledger.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>

using namespace parsleytrack;

namespace
{

constexpr int node_count = 3;
constexpr int key_count = 6;
constexpr duration tick_length = std::chrono::milliseconds(20);
constexpr int fault_steps = 3000;

/// Callers that send each key again and again through several nodes, which
/// share one page, with faults of the nodes and of the store.
class once_fleet
{
public:
    explicit once_fleet(std::uint64_t seed) : random(seed), nodes(node_count)
    {
        for (int number = 0; number < node_count; ++number)
        {
            this->restart(number);
        }
    }

    void run()
    {
        for (this->step = 0; this->step < fault_steps + 500; ++this->step)
        {
            this->now += tick_length;
            while (!this->calendar.empty() &&
                   this->calendar.begin()->first <= this->now)
            {
                const auto callback = this->calendar.begin()->second;
                this->calendar.erase(this->calendar.begin());
                callback();
            }
            if (this->chance(0.05))
            {
                this->call(this->draw(key_count));
            }
            if (this->faults() && this->chance(0.01))
            {
                this->restart(this->draw(node_count));
            }
            if (this->faults() && this->chance(0.02))
            {
                this->nodes[this->draw(node_count)].frozen_until =
                    this->now + tick_length * this->draw(200);
            }
            for (int number = 0; number < node_count; ++number)
            {
                this->step_node(number);
            }
        }
    }

    std::map<int, int> executions;
    std::map<int, std::set<std::string>> recorded;
    int grants = 0;
    int conflicts = 0;
    int unknown = 0;

private:
    struct node
    {
        std::unique_ptr<once_ledger> ledger;
        int serial = 0;
        time_point frozen_until;
        std::map<once_ledger::operation_number,
                 std::function<void(const once_outcome&)>>
            waiting;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) <
               probability;
    }
    int draw(int limit)
    {
        return std::uniform_int_distribution<>(0, limit - 1)(this->random);
    }
    bool faults() const { return this->step < fault_steps; }
    void later(int steps, std::function<void()> callback)
    {
        this->calendar.emplace(this->now + tick_length * steps,
                               std::move(callback));
    }

    void restart(int number)
    {
        node& self = this->nodes[number];
        ++self.serial;
        self.waiting.clear();
        self.ledger = std::make_unique<once_ledger>(
            [this](const node_id&)
            { return this->faults() && this->chance(0.02); });
    }

    void submit(int number, const once_operation& operation,
                std::function<void(const once_outcome&)> callback)
    {
        node& self = this->nodes[number];
        self.waiting[self.ledger->submit(operation)] = std::move(callback);
    }

    once_operation make(once_operation::kind what, int key, std::uint64_t claim)
    {
        once_operation operation;
        operation.what = what;
        operation.key = std::to_string(key);
        operation.entry.claim = claim;
        operation.entry.fingerprint = "body";
        operation.wait_until = this->now + std::chrono::seconds(2);
        operation.give_up_at = this->now + std::chrono::seconds(4);
        return operation;
    }

    void call(int key)
    {
        const std::uint64_t claim = this->random();
        auto operation = this->make(once_operation::kind::acquire, key, claim);
        if (this->chance(0.1))
        {
            operation.entry.fingerprint = "another body";
        }
        const auto sent = std::make_shared<bool>(false);
        // An answer that is lost makes the caller ask another node.
        const int asked = this->faults() && this->chance(0.2) ? 2 : 1;
        for (int count = 0; count < asked; ++count)
        {
            this->submit(this->draw(node_count), operation,
                         [this, key, claim, sent](const once_outcome& outcome)
                         { this->handle(key, claim, sent, outcome); });
        }
    }

    void handle(int key, std::uint64_t claim, const std::shared_ptr<bool>& sent,
                const once_outcome& outcome)
    {
        using kind = once_outcome::kind;
        this->conflicts += outcome.what == kind::conflict ? 1 : 0;
        this->unknown += outcome.what == kind::may_have_run ? 1 : 0;
        if (outcome.what == kind::recorded)
        {
            this->recorded[key].insert(outcome.entry.body);
            CHECK(this->executions[key] == 1);
        }
        if (outcome.what != kind::granted || *sent)
        {
            return;
        }
        *sent = true;
        ++this->grants;
        if (this->chance(0.3))
        {
            // A release whose answer was lost comes a second time.
            for (const int delay : {0, this->draw(100)})
            {
                this->later(delay,
                            [this, key, claim] { this->release(key, claim); });
            }
            return;
        }
        ++this->executions[key];
        if (this->faults() && this->chance(0.2))
        {
            return;
        }
        this->later(this->draw(60),
                    [this, key, claim]
                    {
                        auto operation = this->make(
                            once_operation::kind::record, key, claim);
                        operation.entry.state = once_entry::stage::answered;
                        operation.entry.body = std::to_string(claim);
                        this->submit(this->draw(node_count), operation,
                                     [](const once_outcome&) {});
                    });
    }

    void release(int key, std::uint64_t claim)
    {
        this->submit(this->draw(node_count),
                     this->make(once_operation::kind::release, key, claim),
                     [](const once_outcome&) {});
    }

    void step_node(int number)
    {
        node& self = this->nodes[number];
        if (this->now < self.frozen_until)
        {
            return;
        }
        const auto action = self.ledger->next_action(this->now, 0);
        if (action)
        {
            this->carry_out(number, *action);
        }
        for (const auto& [operation, outcome] : self.ledger->take_answers())
        {
            const auto callback = self.waiting.extract(operation);
            callback.mapped()(outcome);
        }
    }

    void carry_out(int number, const once_ledger::action& action)
    {
        const int serial = this->nodes[number].serial;
        this->later(this->draw(8) + 1,
                    [this, number, serial, action]
                    {
                        const int fault = this->faults() ? this->draw(12) : 11;
                        if (action.write)
                        {
                            this->write(number, serial, *action.write, fault);
                            return;
                        }
                        const result<seen_once_page> answer =
                            fault == 0 ? result<seen_once_page>(error{})
                                       : this->stored;
                        this->tell(number, serial,
                                   [this, answer](auto& ledger)
                                   { ledger.on_page(this->now, answer); });
                    });
    }

    void write(int number, int serial, const seen_once_page& wanted, int fault)
    {
        error reason;
        reason.code = fault == 0 ? error_code::store_unavailable
                                 : error_code::store_outcome_unknown;
        using outcome = result<std::pair<bool, seen_once_page>>;
        outcome answer = reason;
        if (fault == 3)
        {
            this->later(this->draw(300),
                        [this, wanted] { this->apply(wanted); });
        }
        else if (fault != 0 && fault != 1)
        {
            const bool applied = this->apply(wanted);
            if (fault != 2)
            {
                answer = outcome(std::pair(applied, this->stored));
            }
        }
        this->tell(number, serial,
                   [this, answer](auto& ledger)
                   { ledger.on_swap(this->now, answer); });
    }

    bool apply(const seen_once_page& wanted)
    {
        if (wanted.revision != this->stored.revision)
        {
            return false;
        }
        this->stored = {wanted.page, wanted.revision.next()};
        return true;
    }

    void tell(int number, int serial,
              const std::function<void(once_ledger&)>& what)
    {
        node& self = this->nodes[number];
        if (self.serial != serial)
        {
            return;
        }
        if (this->now < self.frozen_until)
        {
            this->later(10, [this, number, serial, what]
                        { this->tell(number, serial, what); });
            return;
        }
        what(*self.ledger);
    }

    std::mt19937_64 random;
    time_point now;
    int step = 0;
    seen_once_page stored;
    std::vector<node> nodes;
    std::multimap<time_point, std::function<void()>> calendar;
};

} // namespace

TEST_GROUP(once_ledger){};

TEST(once_ledger, grants_each_key_at_most_once_under_faults)
{
    const char* wanted = std::getenv("PARSLEYTRACK_TEST_RUNS");
    const int runs = wanted == nullptr ? 300 : std::atoi(wanted);
    int grants = 0;
    int conflicts = 0;
    int unknown = 0;
    for (int seed = 1; seed <= runs; ++seed)
    {
        once_fleet fleet(static_cast<std::uint64_t>(seed));
        fleet.run();
        for (const auto& [key, count] : fleet.executions)
        {
            CHECK(count <= 1);
        }
        for (const auto& [key, bodies] : fleet.recorded)
        {
            LONGS_EQUAL(1, bodies.size());
        }
        grants += fleet.grants;
        conflicts += fleet.conflicts;
        unknown += fleet.unknown;
    }
    CHECK(grants > runs);
    CHECK(conflicts > runs);
    CHECK(unknown > runs);
    std::printf("once_ledger: %d runs, %lld steps, %d grants, %d conflicts, "
                "%d unknown\n",
                runs, static_cast<long long>(runs) * (fault_steps + 500),
                grants, conflicts, unknown);
}
