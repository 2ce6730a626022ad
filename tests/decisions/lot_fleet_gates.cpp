// The gates of the simulation: they pull items and report their ends.

#include "decisions/lot_fleet.hpp"

#include <string>

using namespace parsleytrack;

namespace
{

constexpr duration cancel_limit = std::chrono::seconds(2);

} // namespace

void lot_fleet::pull(int number)
{
    node& self = this->nodes[number];
    if (!self.owner)
    {
        return;
    }
    item_pull wanted;
    const int gate = this->draw(node_count);
    wanted.gate = node_id(std::to_string(gate));
    wanted.replica = replica_id("replica-" + std::to_string(this->draw(6)));
    wanted.service = service_name("rota-llm");
    wanted.models = {"rota"};
    wanted.replicas_in_use = 6;
    wanted.max_items = this->draw(4) + 1;
    for (const item_assignment& item : self.owner->pull(this->now, wanted))
    {
        if (this->cancelled && this->now > *this->cancel_at + cancel_limit)
        {
            ++this->broken_promises;
        }
        if (this->faults() && this->chance(0.03))
        {
            continue;
        }
        ++this->executions[item.index];
        execution run;
        run.end = this->now + tick_length * (this->draw(400) + 1);
        run.node = number;
        run.gate = gate;
        run.epoch = self.owner->epoch();
        run.report.index = item.index;
        run.report.attempt = item.attempt;
        run.report.replica = wanted.replica;
        run.report.body = std::to_string(this->random());
        run.report.how = attempt_end::completed;
        if (item.index == killer_item)
        {
            run.report.how = attempt_end::replica_lost;
        }
        else if (item.index == broken_item)
        {
            run.report.how = attempt_end::failed;
        }
        else if (this->faults() && this->chance(0.2))
        {
            run.report.how = static_cast<attempt_end>(this->draw(6));
        }
        if (run.report.how == attempt_end::not_run)
        {
            --this->executions[item.index];
        }
        this->running.push_back(run);
    }
}

void lot_fleet::run_gates()
{
    std::vector<execution> ended;
    std::erase_if(this->running,
                  [this, &ended](const execution& run)
                  {
                      if (run.end <= this->now)
                      {
                          ended.push_back(run);
                      }
                      return run.end <= this->now;
                  });
    for (execution& run : ended)
    {
        this->end_execution(run);
    }
}

void lot_fleet::end_execution(execution& run)
{
    if (this->faults() && this->chance(0.03))
    {
        return;
    }
    const int copies = this->faults() && this->chance(0.1) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        this->nodes[run.node].inbox.push_back(
            [this, run]
            {
                if (this->nodes[run.node].owner)
                {
                    this->nodes[run.node].owner->report(this->now, run.epoch,
                                                        run.report);
                }
            });
    }
}
