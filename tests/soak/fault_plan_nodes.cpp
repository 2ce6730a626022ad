// Faults of the nodes themselves and of their links to the replicas.

#include "soak/fault_plan.hpp"

#include <csignal>
#include <string>

namespace parsleytrack::soak
{

using relay_support::fault_proxy;

void fault_plan::strike_links(int node)
{
    const auto fault = this->draw(2) == 0 ? fault_proxy::fault::unreachable
                                          : fault_proxy::fault::reset;
    this->note("node " + std::to_string(node) + " reaches no replica");
    this->fleet.set_replica_links(node, fault);
    this->after(
        this->draw_span(500, 5000),
        [this, node]
        {
            this->fleet.set_replica_links(node, fault_proxy::fault::none);
            this->note("node " + std::to_string(node) + " reaches replicas");
        });
}

void fault_plan::strike_node(int node)
{
    if (!this->is_up(node))
    {
        return;
    }
    switch (this->draw(5))
    {
    case 0:
        this->kill(node);
        return;
    case 1:
        this->freeze(node);
        return;
    case 2:
        this->stop(node);
        return;
    case 3:
        // Before its program runs, nothing can handle or defer the signal.
        if (!this->fleet.process(node).handles(SIGHUP))
        {
            return;
        }
        this->note("node " + std::to_string(node) + " is reloaded", true);
        this->fleet.process(node).signal(SIGHUP);
        return;
    default:
        for (std::size_t other = 0; other < this->modes.size(); ++other)
        {
            this->kill(static_cast<int>(other));
        }
        return;
    }
}

void fault_plan::kill(int node)
{
    if (!this->is_up(node))
    {
        return;
    }
    this->note("node " + std::to_string(node) + " is killed");
    this->modes[static_cast<std::size_t>(node)] = node_mode::down;
    this->fleet.process(node).kill();
    this->after(this->draw_span(200, 2000),
                [this, node]
                {
                    this->modes[static_cast<std::size_t>(node)] = node_mode::up;
                    this->fleet.start(node);
                    this->note("node " + std::to_string(node) + " starts");
                });
}

void fault_plan::freeze(int node)
{
    this->note("node " + std::to_string(node) + " is frozen");
    this->modes[static_cast<std::size_t>(node)] = node_mode::frozen;
    this->fleet.process(node).signal(SIGSTOP);
    this->after(this->draw_span(300, 4500),
                [this, node]
                {
                    this->modes[static_cast<std::size_t>(node)] = node_mode::up;
                    this->fleet.process(node).signal(SIGCONT);
                    this->note("node " + std::to_string(node) + " wakes up");
                });
}

void fault_plan::stop(int node)
{
    this->note("node " + std::to_string(node) + " is told to stop", true);
    this->modes[static_cast<std::size_t>(node)] =
        this->fleet.process(node).handles(SIGTERM) ? node_mode::stopping
                                                   : node_mode::stopped_early;
    this->fleet.process(node).signal(SIGTERM);
}

} // namespace parsleytrack::soak
