#pragma once

#include "daemon/instance_watch.hpp"
#include "daemon/node_context.hpp"
#include "daemon/peer_fetch.hpp"
#include "decisions/replica_directory.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace parsleytrack
{

/// Keeps the list of backend servers current. A few nodes of the region watch
/// the platform's list; the others fetch it from them when it has changed.
class directory_module
{
public:
    explicit directory_module(node_context& node);

    /// A backend server has refused a request with "X-Not-Run: true", or has
    /// reported that it is leaving.
    void report_leaving(const replica_id& replica);

    /// A backend server has reported that it is not leaving.
    ///
    /// \param asked_at When it was asked.
    void report_live(const replica_id& replica, time_point asked_at);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    struct announcement
    {
        store_revision revision;
        std::uint64_t hash = 0;
    };

    void tick();
    void choose_role();
    void take_list(const replica_list& list, bool from_store);
    void apply();
    void announce();
    void announce_words();
    std::set<replica_id> heard_words() const;
    bool is_news(const announcement& other) const;
    void handle_announcement(const node_id& from, const std::string& value);
    void poll();
    void fetch(const node_id& target);
    void answer(const std::shared_ptr<wire::peer_exchange>& exchange) const;

    node_context& context;
    replica_directory directory;
    peer_fetch fetcher;
    std::unique_ptr<instance_watch> watch;
    bool list_known = false;
    announcement own;
    std::set<replica_id> announced_words;
    net::timer tick_timer;
    time_point next_poll;
};

} // namespace parsleytrack
