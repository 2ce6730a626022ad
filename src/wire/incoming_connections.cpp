#include "wire/incoming_connections.hpp"

#include "wire/peer_connection.hpp"

#include <vector>

namespace parsleytrack::wire::detail
{

void incoming_connections::set_limits(const peer_limits& chosen)
{
    // A message between nodes may need all of it.
    this->budget.set_limits({chosen.unfinished_input, chosen.unfinished_input});
}

void incoming_connections::add(
    const std::shared_ptr<peer_connection>& connection,
    const std::string& address)
{
    this->last_number = this->last_number.next();
    this->entries[connection.get()] = entry{connection, this->last_number};
    this->numbers[this->last_number] = connection.get();
    this->budget.add(this->last_number, address);
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

} // namespace parsleytrack::wire::detail
