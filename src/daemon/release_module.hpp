#pragma once

#include "daemon/node_context.hpp"
#include "daemon/peer_fetch.hpp"
#include "decisions/release_ledger.hpp"

#include <functional>
#include <memory>
#include <string>

namespace parsleytrack
{

/// Accepts release notes and keeps the one in force on this node current. A
/// few nodes of the region watch the store; versions spread by gossip, and the
/// record is fetched from a node that has it.
class release_module
{
public:
    explicit release_module(node_context& node);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    using exchange_pointer = std::shared_ptr<net::http_exchange>;

    void add_routes();
    void receive_note(const exchange_pointer& exchange);
    void submit(const exchange_pointer& exchange, release_version expected,
                const std::string& body);
    void answer_submission(const exchange_pointer& exchange,
                           const release_note& note,
                           const result<release_ledger::outcome>& end);
    void refuse(const std::string& reason);

    void tick();
    void choose_role();
    void poll();
    void read_store();
    void take(const std::string& record_text, const char* source);
    void handle_announcement(const node_id& from, const std::string& value);
    void fetch(const node_id& target);
    void
    answer_peer(const std::shared_ptr<wire::peer_exchange>& exchange) const;

    node_context& context;
    peer_fetch fetcher;
    std::unique_ptr<key_value::watch_handle> watch;
    /// The record of the release in force, as it stands in the store.
    std::string record;
    net::timer tick_timer;
    time_point next_poll;
};

} // namespace parsleytrack
