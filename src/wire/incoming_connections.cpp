#include "wire/incoming_connections.hpp"

#include "wire/peer_connection.hpp"

#include <tuple>
#include <vector>

namespace parsleytrack::wire::detail
{

void incoming_connections::set_limits(const peer_limits& chosen)
{
    this->max_connections = chosen.connections;
    // A message between nodes may need all of it.
    this->budget.set_limits({chosen.unfinished_input, chosen.unfinished_input});
}

void incoming_connections::add(
    const std::shared_ptr<peer_connection>& connection,
    const std::string& address, time_point now)
{
    this->last_number = this->last_number.next();
    this->entries[connection.get()] =
        entry{connection, this->last_number, now, false};
    this->numbers[this->last_number] = connection.get();
    this->budget.add(this->last_number, address);
    if (this->max_connections > 0 &&
        this->entries.size() > this->max_connections)
    {
        this->close_unused(*connection);
    }
}

void incoming_connections::remove(const peer_connection& connection)
{
    const auto found = this->entries.find(&connection);
    if (found == this->entries.end())
    {
        return;
    }
    this->budget.remove(found->second.number);
    this->numbers.erase(found->second.number);
    this->entries.erase(found);
}

void incoming_connections::record_unfinished(const peer_connection& connection,
                                             std::size_t unfinished,
                                             std::size_t received,
                                             time_point now)
{
    const auto found = this->entries.find(&connection);
    if (found == this->entries.end())
    {
        return;
    }
    const std::vector<net::connection_number> closed = this->budget.update(
        found->second.number, {unfinished, true}, received, now);
    for (const net::connection_number number : closed)
    {
        const auto chosen = this->numbers.find(number);
        if (chosen != this->numbers.end())
        {
            // Removes the entry.
            chosen->second->close("too many bytes of unfinished messages");
        }
    }
}

void incoming_connections::record_message(const peer_connection& connection,
                                          time_point now)
{
    const auto found = this->entries.find(&connection);
    if (found != this->entries.end())
    {
        found->second.used_at = now;
        found->second.has_sent_message = true;
    }
}

void incoming_connections::close_unused(const peer_connection& newest)
{
    const entry* chosen = nullptr;
    for (const auto& [connection, candidate] : this->entries)
    {
        const bool may_close =
            connection != &newest && !connection->has_open_exchange();
        if (may_close &&
            (chosen == nullptr ||
             std::tie(candidate.has_sent_message, candidate.used_at) <
                 std::tie(chosen->has_sent_message, chosen->used_at)))
        {
            chosen = &candidate;
        }
    }
    const std::shared_ptr<peer_connection> closed =
        chosen == nullptr ? this->entries.at(&newest).connection
                          : chosen->connection;
    closed->close("too many connections");
}

} // namespace parsleytrack::wire::detail
