#include "net/connection_table.hpp"

#include "logging/log.hpp"
#include "net/server_connection.hpp"

#include <utility>

namespace parsleytrack::net::detail
{

namespace
{

/// A crowd of refused callers must not flood the log.
constexpr duration log_interval = std::chrono::seconds(1);

} // namespace

connection_table::connection_table(event_loop& event_loop)
    : loop(event_loop), last_line(event_loop::now() - log_interval)
{
}

connection_number connection_table::add(server_connection& connection,
                                        const std::string& address)
{
    this->last_number = this->last_number.next();
    this->connections[this->last_number] = &connection;
    this->budget.add(this->last_number, address);
    return this->last_number;
}

void connection_table::remove(connection_number connection)
{
    this->connections.erase(connection);
    this->selected.erase(connection);
    this->budget.remove(connection);
}

std::vector<connection_number> connection_table::numbers() const
{
    std::vector<connection_number> all;
    all.reserve(this->connections.size());
    for (const auto& [number, connection] : this->connections)
    {
        all.push_back(number);
    }
    return all;
}

server_connection* connection_table::find(connection_number number) const
{
    const auto found = this->connections.find(number);
    return found == this->connections.end() ? nullptr : found->second;
}

void connection_table::report(connection_number connection,
                              const body_budget::usage& usage,
                              std::size_t moved_bytes)
{
    for (const connection_number closed :
         this->budget.update(connection, usage, moved_bytes, event_loop::now()))
    {
        this->refuse_later(closed, caller_refusal::over_budget);
    }
}

void connection_table::refuse_later(connection_number connection,
                                    caller_refusal reason)
{
    server_connection* const refused = this->find(connection);
    if (refused == nullptr ||
        !this->selected.emplace(connection, reason).second)
    {
        return;
    }
    refused->ignore_body();
    if (this->selected.size() == 1)
    {
        this->refusal_timer = this->loop.call_after(
            duration::zero(), [this] { this->refuse_selected(); });
    }
}

void connection_table::refuse_selected()
{
    const auto refused = std::exchange(this->selected, {});
    for (const auto& [number, reason] : refused)
    {
        if (server_connection* const connection = this->find(number))
        {
            connection->refuse(reason);
        }
    }
}

void connection_table::make_room_for(connection_number newest)
{
    connection_number chosen = newest;
    time_point since = time_point::max();
    for (const auto& [number, connection] : this->connections)
    {
        if (number != newest && connection->is_idle() &&
            !this->selected.contains(number) &&
            connection->waits_since() < since)
        {
            chosen = number;
            since = connection->waits_since();
        }
    }
    this->refuse_later(chosen, caller_refusal::too_many_connections);
}

void connection_table::count_refusal(caller_refusal reason,
                                     std::string_view response, duration waited)
{
    if (this->on_refusal)
    {
        this->on_refusal(reason);
    }
    const time_point now = event_loop::now();
    if (now - this->last_line < log_interval)
    {
        ++this->unlogged;
        return;
    }
    log_event(log_level::info, "caller_refused",
              {{"answer", std::string(response.substr(0, response.find('\r')))},
               {"reason", std::string(to_string(reason))},
               {"waited_ms", to_milliseconds(waited)},
               {"unlogged", this->unlogged},
               {"buffered_bytes", this->budget.buffered_bytes()}});
    this->last_line = now;
    this->unlogged = 0;
}

} // namespace parsleytrack::net::detail
