#include "soak/fault_plan.hpp"

#include <array>
#include <csignal>
#include <iomanip>
#include <ostream>
#include <utility>

namespace parsleytrack::soak
{

namespace
{

using relay_support::fault_proxy;
using relay_support::replica_stand_in;
using std::chrono::milliseconds;

constexpr duration watch_interval = milliseconds(50);
constexpr std::array link_faults = {
    std::pair{fault_proxy::fault::delayed, "delayed"},
    std::pair{fault_proxy::fault::reset, "reset"},
    std::pair{fault_proxy::fault::blocked, "silent"},
    std::pair{fault_proxy::fault::blocked_to_server, "cut to the server"},
    std::pair{fault_proxy::fault::blocked_to_client, "cut to the client"},
    std::pair{fault_proxy::fault::repeating, "writes responses twice"}};
/// \returns The end of a process's output, which says why it has aborted.
std::string last_lines(const std::string& output)
{
    constexpr std::size_t length = 600;
    return output.size() > length ? output.substr(output.size() - length)
                                  : output;
}

constexpr std::array behaviours = {
    std::pair{replica_stand_in::fault::full, "full"},
    std::pair{replica_stand_in::fault::truncating, "cuts streams"},
    std::pair{replica_stand_in::fault::failing, "fails"}};

} // namespace

fault_plan::fault_plan(relay_support::relay_fleet& test_fleet, int node_count,
                       fault_kinds chosen_kinds, random_source& random_numbers,
                       violations& found, std::ostream& log)
    : fleet(test_fleet), kinds(chosen_kinds), random(random_numbers),
      problems(found), out(log),
      modes(static_cast<std::size_t>(node_count), node_mode::up),
      began(net::event_loop::now()), impaired_at(this->began)
{
    this->watch_timer = this->fleet.loop.call_every(
        watch_interval, [this] { this->watch_processes(); });
}

void fault_plan::start()
{
    this->active = true;
    this->schedule();
}

void fault_plan::heal()
{
    this->active = false;
    this->strike_timer.cancel();
    this->timers.clear();
    for (const auto& proxy : this->fleet.store_proxies)
    {
        proxy->set_fault(fault_proxy::fault::none);
    }
    for (const auto& proxy : this->fleet.replica_proxies)
    {
        proxy->set_fault(fault_proxy::fault::none);
    }
    for (std::size_t node = 0;
         this->strands_nodes() && node < this->modes.size(); ++node)
    {
        this->fleet.set_replica_links(static_cast<int>(node),
                                      fault_proxy::fault::none);
    }
    this->fleet.store.lost_responses = 0;
    for (const auto& engine : this->fleet.engines)
    {
        engine->behaviour = replica_stand_in::fault::none;
        if (!std::exchange(engine->extra_headers, {}).empty())
        {
            engine->restart();
        }
        this->fleet.store.put("servers/" + engine->name(),
                              engine->record("llm"));
    }
    for (std::size_t node = 0; node < this->modes.size(); ++node)
    {
        const int number = static_cast<int>(node);
        this->fleet.store.set_refusing(this->fleet.store_address(number),
                                       false);
        switch (std::exchange(this->modes[node], node_mode::up))
        {
        case node_mode::up:
            break;
        case node_mode::frozen:
            this->fleet.process(number).signal(SIGCONT);
            break;
        case node_mode::stopped_early:
        case node_mode::stopping:
            this->fleet.process(number).kill();
            this->fleet.start(number);
            break;
        case node_mode::down:
            this->fleet.start(number);
            break;
        }
    }
    this->note("all faults end");
}

bool fault_plan::is_up(int node) const
{
    return this->modes[static_cast<std::size_t>(node)] == node_mode::up;
}

bool fault_plan::is_stopping(int node) const
{
    const node_mode mode = this->modes[static_cast<std::size_t>(node)];
    return mode == node_mode::stopping || mode == node_mode::stopped_early;
}

void fault_plan::schedule()
{
    this->strike_timer = this->fleet.loop.call_after(this->draw_span(100, 900),
                                                     [this]
                                                     {
                                                         this->strike();
                                                         this->schedule();
                                                     });
}

void fault_plan::strike()
{
    switch (this->draw(this->strands_nodes() ? 10 : 8))
    {
    case 0:
    case 1:
    case 2:
        this->strike_node(static_cast<int>(this->draw(this->modes.size())));
        return;
    case 3:
    case 4:
        this->strike_store();
        return;
    case 5:
    case 6:
        this->strike_replica();
        return;
    case 8:
    case 9:
        this->strike_links(static_cast<int>(this->draw(this->modes.size())));
        return;
    default:
        this->change_configuration();
        return;
    }
}

void fault_plan::strike_store()
{
    const int node = static_cast<int>(this->draw(this->modes.size()));
    fault_proxy& proxy =
        *this->fleet.store_proxies[static_cast<std::size_t>(node)];
    const duration span = this->draw_span(300, 4000);
    const std::string name = "node " + std::to_string(node);
    switch (this->draw(this->has_announcements() ? 5 : 4))
    {
    case 4:
        this->note(name + "'s open connections to the store go silent");
        proxy.silence_open_connections();
        return;
    case 0:
        this->note("the store loses answers");
        this->fleet.store.lost_responses += static_cast<int>(1 + this->draw(4));
        return;
    case 1:
        this->note("the store turns " + name + " away");
        this->fleet.store.set_refusing(this->fleet.store_address(node), true);
        this->after(span,
                    [this, node]
                    {
                        this->fleet.store.set_refusing(
                            this->fleet.store_address(node), false);
                        this->note("the store serves again");
                    });
        return;
    case 2:
        this->note("the store is down");
        for (std::size_t other = 0; other < this->modes.size(); ++other)
        {
            fault_proxy& link = *this->fleet.store_proxies[other];
            link.set_fault(fault_proxy::fault::reset);
            this->after(span,
                        [&link] { link.set_fault(fault_proxy::fault::none); });
        }
        this->after(span, [this] { this->note("the store is back"); });
        return;
    default:
        const auto& [fault, title] =
            link_faults.at(this->draw(store_link_faults));
        this->note(name + " and the store: " + title);
        proxy.set_fault(fault);
        this->after(span,
                    [this, &proxy, name]
                    {
                        proxy.set_fault(fault_proxy::fault::none);
                        this->note(name + " and the store: well");
                    });
        return;
    }
}

void fault_plan::strike_replica()
{
    const std::size_t chosen = this->draw(this->fleet.engines.size());
    replica_stand_in& replica = *this->fleet.engines[chosen];
    fault_proxy& proxy = *this->fleet.replica_proxies[chosen];
    if (this->kinds == fault_kinds::with_returning_replicas &&
        this->draw(2) == 0)
    {
        this->crash_replica(chosen);
        return;
    }
    const duration span = this->draw_span(300, 3000);
    bool is_replaced = false;
    switch (this->draw(this->has_announcements() ? 4 : 3))
    {
    case 0:
    {
        const auto& [fault, title] =
            link_faults.at(this->draw(this->replica_link_faults()));
        this->note("replica " + replica.name() + ": " + title);
        proxy.set_fault(fault);
        if (fault == fault_proxy::fault::repeating)
        {
            replica.behaviour = replica_stand_in::fault::failing_once;
        }
        break;
    }
    case 1:
    {
        const auto& [fault, title] = behaviours.at(this->draw(3));
        this->note("replica " + replica.name() + ": " + title);
        replica.behaviour = fault;
        break;
    }
    case 3:
        // Its record stays as it is until another process takes its place.
        this->note("replica " + replica.name() + " leaves by its responses",
                   true);
        replica.extra_headers = {{"Server-Leaving", "1"}};
        break;
    default:
        this->note("replica " + replica.name() + " leaves", true);
        this->fleet.store.put("servers/" + replica.name(),
                              replica.record("llm", "draining"));
        is_replaced = this->strands_nodes();
        break;
    }
    this->after(span,
                [this, &replica, &proxy, is_replaced]
                {
                    if (is_replaced)
                    {
                        this->fleet.store.erase("servers/" + replica.name());
                        replica.replace();
                    }
                    proxy.set_fault(fault_proxy::fault::none);
                    replica.behaviour = replica_stand_in::fault::none;
                    if (!std::exchange(replica.extra_headers, {}).empty())
                    {
                        replica.restart();
                    }
                    this->fleet.store.put("servers/" + replica.name(),
                                          replica.record("llm"));
                    this->note("replica " + replica.name() + ": well");
                });
}

void fault_plan::crash_replica(std::size_t chosen)
{
    replica_stand_in& replica = *this->fleet.engines[chosen];
    fault_proxy& proxy = *this->fleet.replica_proxies[chosen];
    this->note("replica " + replica.name() + " crashes");
    proxy.set_fault(fault_proxy::fault::reset);
    const duration down_time = this->draw_span(200, 1500);
    const duration record_delay = this->draw_span(0, 1200);
    this->after(down_time,
                [this, &replica, &proxy]
                {
                    replica.version = replica.version == "v1" ? "v2" : "v1";
                    replica.restart();
                    proxy.set_fault(fault_proxy::fault::none);
                    this->note("replica " + replica.name() + " is back as " +
                               replica.version);
                });
    this->after(down_time + record_delay,
                [this, &replica] {
                    this->fleet.store.put("servers/" + replica.name(),
                                          replica.record("llm"));
                });
}

void fault_plan::change_configuration()
{
    this->version += static_cast<int>(1 + this->draw(3));
    this->note("configuration " + std::to_string(this->version), true);
    this->fleet.store.put("op/config", this->make_configuration(this->version));
}

void fault_plan::after(duration span, std::function<void()> action)
{
    const std::uint64_t number = this->next_timer++;
    this->timers[number] =
        this->fleet.loop.call_after(span,
                                    [this, number, action = std::move(action)]
                                    {
                                        const net::timer own =
                                            std::move(this->timers.at(number));
                                        this->timers.erase(number);
                                        action();
                                    });
}

void fault_plan::watch_processes()
{
    for (std::size_t node = 0; node < this->modes.size(); ++node)
    {
        const int number = static_cast<int>(node);
        if (this->modes[node] == node_mode::down ||
            !this->fleet.process(number).has_ended())
        {
            continue;
        }
        const int code = this->fleet.process(number).exit_code();
        if (!may_end(this->modes[node], code))
        {
            this->problems.add(
                "a process ends only when it is told to",
                "node " + std::to_string(node) + " ended with " +
                    std::to_string(code) + ": " +
                    last_lines(this->fleet.process(number).output()));
        }
        this->modes[node] = node_mode::up;
        this->fleet.start(number);
        this->note("node " + std::to_string(node) + " starts", true);
    }
}

bool fault_plan::may_end(node_mode mode, int exit_code)
{
    switch (mode)
    {
    case node_mode::stopping:
        return exit_code == 0;
    case node_mode::stopped_early:
        return exit_code == 0 || exit_code == -SIGTERM;
    default:
        return false;
    }
}

void fault_plan::note(const std::string& what, bool planned)
{
    const time_point now = net::event_loop::now();
    if (!planned)
    {
        this->impaired_at = now;
    }
    this->out << std::fixed << std::setprecision(3)
              << std::chrono::duration<double>(now - this->began).count() << ' '
              << what << '\n';
}

std::size_t fault_plan::draw(std::size_t count)
{
    return this->random() % count;
}

duration fault_plan::draw_span(std::int64_t least_ms, std::int64_t most_ms)
{
    return milliseconds(least_ms +
                        static_cast<std::int64_t>(this->draw(
                            static_cast<std::size_t>(most_ms - least_ms + 1))));
}

} // namespace parsleytrack::soak
