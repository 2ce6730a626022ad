#include "daemon/drain_sequence.hpp"

#include "logging/log.hpp"
#include "net/event_loop.hpp"

#include <utility>

namespace parsleytrack
{

void drain_sequence::add(std::string name, step work)
{
    this->steps.push_back(named_step{std::move(name), std::move(work)});
}

void drain_sequence::start()
{
    if (this->started)
    {
        return;
    }
    this->started = true;
    log_event(log_level::info, "drain_started");
    this->run(0);
}

void drain_sequence::run(std::size_t index)
{
    if (index == this->steps.size())
    {
        return;
    }
    this->step_began = net::event_loop::now();
    this->steps[index].work(
        [this, index]
        {
            const duration took = net::event_loop::now() - this->step_began;
            log_event(log_level::info, "drain_step_done",
                      {{"step", this->steps[index].name},
                       {"took_ms", to_milliseconds(took)}});
            this->run(index + 1);
        });
}

} // namespace parsleytrack
