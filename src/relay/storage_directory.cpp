#include "relay/storage_directory.hpp"

#include "logging/log.hpp"

#include <set>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

/// Storage nodes that start together are announced together.
constexpr duration change_batch_window = std::chrono::milliseconds(500);

} // namespace

storage_directory::storage_directory(net::event_loop& event_loop,
                                     key_value::record_client& client,
                                     wire::peer_network& network,
                                     peering::peer_group& nodes,
                                     random_source& random_numbers,
                                     std::size_t max_direct_followers)
    : feed(event_loop, client, network, nodes, random_numbers,
           feeds::feed_options{wire::message_type::storage_feed,
                               storage_node_prefix, change_batch_window,
                               max_direct_followers},
           {[this](const key_value::record_listing& listing, bool)
            { this->apply_listing(listing); },
            [this](const std::vector<key_value::record_change>& changes)
            {
                for (const key_value::record_change& change : changes)
                {
                    if (change.deleted)
                    {
                        this->addresses.erase(change.record.key);
                        continue;
                    }
                    this->apply_record(change.record);
                }
            },
            {}})
{
}

void storage_directory::apply_listing(const key_value::record_listing& listing)
{
    std::set<std::string> listed;
    for (const key_value::stored_record& record : listing.records)
    {
        listed.insert(record.key);
        this->apply_record(record);
    }
    std::erase_if(this->addresses, [&listed](const auto& known)
                  { return !listed.contains(known.first); });
}

void storage_directory::apply_record(const key_value::stored_record& record)
{
    const auto read = decode_storage_record(record.value);
    if (read.has_error())
    {
        log_event(log_level::warning, "storage_record_skipped",
                  {{"key", record.key}, {"reason", read.error().message}});
        return;
    }
    const endpoint& address = read.value().address;
    this->addresses[record.key] = address;
    log_event(log_level::info, "storage_node_listed",
              {{"key", record.key}, {"address", to_string(address)}});
    for (const auto& callback : this->start_callbacks)
    {
        callback(address);
    }
}

} // namespace parsleytrack::relay
