#pragma once

#include "feeds/record_feed.hpp"
#include "relay/storage_record.hpp"
#include "units/endpoint.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// Follows the addresses of the storage nodes.
class storage_directory
{
public:
    /// \param event_loop Outlives this object, as do the other references.
    storage_directory(net::event_loop& event_loop,
                      key_value::record_client& client,
                      wire::peer_network& network, peering::peer_group& nodes,
                      random_source& random_numbers,
                      std::size_t max_direct_followers);

    void start() { this->feed.start(); }

    /// \returns Whether the list of storage nodes is known.
    bool is_known() const { return this->feed.is_known(); }

    /// \returns The peer addresses of the storage nodes, by their keys. Nodes
    /// that are gone for good may still be listed.
    const std::map<std::string, endpoint>& nodes() const
    {
        return this->addresses;
    }

    /// \param callback Called when a storage node has written its record, with
    /// its address; it may have started.
    void on_start(std::function<void(const endpoint&)> callback)
    {
        this->start_callbacks.push_back(std::move(callback));
    }

private:
    void apply_listing(const key_value::record_listing& listing);
    void apply_record(const key_value::stored_record& record);

    std::map<std::string, endpoint> addresses;
    std::vector<std::function<void(const endpoint&)>> start_callbacks;
    feeds::record_feed feed;
};

} // namespace parsleytrack::relay
