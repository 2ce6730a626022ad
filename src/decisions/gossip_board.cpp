#include "decisions/gossip_board.hpp"

#include <utility>

namespace parsleytrack
{

gossip_board::gossip_board(node_id own, std::uint64_t first_version)
    : own_id(std::move(own)), next_version(first_version)
{
}

void gossip_board::publish(const std::string& topic, const std::string& value)
{
    const std::uint64_t version = this->next_version++;
    this->receive(this->own_id, topic, version, value);
    if (this->send_value)
    {
        this->send_value(topic, version, value);
    }
}

void gossip_board::subscribe(const std::string& topic, callback callback)
{
    this->callbacks[topic].push_back(std::move(callback));
}

const std::map<node_id, gossip_board::entry>&
gossip_board::latest(const std::string& topic) const
{
    static const std::map<node_id, entry> no_entries;
    const auto found = this->topics.find(topic);
    return found == this->topics.end() ? no_entries : found->second;
}

bool gossip_board::receive(const node_id& from, const std::string& topic,
                           std::uint64_t version, const std::string& value)
{
    entry& known = this->topics[topic][from];
    if (version <= known.version)
    {
        return false;
    }
    known.version = version;
    known.value = value;
    for (const auto& callback : this->callbacks[topic])
    {
        callback(from, value);
    }
    return true;
}

void gossip_board::republish_above(std::uint64_t version)
{
    if (version < this->next_version)
    {
        return;
    }
    this->next_version = version + 1;
    std::vector<std::pair<std::string, std::string>> own_values;
    for (const auto& [topic, entries] : this->topics)
    {
        const auto own = entries.find(this->own_id);
        if (own != entries.end())
        {
            own_values.emplace_back(topic, own->second.value);
        }
    }
    for (const auto& [topic, value] : own_values)
    {
        this->publish(topic, value);
    }
}

void gossip_board::erase_node(const node_id& node)
{
    for (auto& [topic, entries] : this->topics)
    {
        entries.erase(node);
    }
}

void gossip_board::set_sender(sender send)
{
    this->send_value = std::move(send);
}

} // namespace parsleytrack
