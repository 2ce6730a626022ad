#pragma once

#include "allotments/node_allotments.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack::test
{

/// A workspace of the model, with what came of its requests.
struct model_workspace
{
    workspace_name name;
    workspaces::allotment limit;
    configuration_version version{1};
    /// Requests per second that its callers send.
    double demand = 0.0;
    /// Its callers use this many nodes, which change when they move.
    std::size_t entry_nodes = 1;
    std::vector<std::size_t> entries;
    /// When each request reached a replica, in order.
    std::vector<time_point> sent;
    /// Numbers of requests that were made and that failed, in the time that is
    /// measured.
    int made = 0;
    int over_limit = 0;
    int unknown = 0;
};

/// Nodes, their views of each other and the messages between them, in virtual
/// time. Callers retry after a refusal that is not about the limit, at another
/// node, twice.
class model_world
{
public:
    model_world(std::size_t node_count, std::uint64_t seed);

    void add_workspace(const std::string& name, double rate, double burst,
                       double demand, std::size_t entry_nodes);
    model_workspace& workspace(std::size_t index)
    {
        return this->workspaces.at(index);
    }
    std::size_t node_count() const { return this->nodes.size(); }
    std::size_t workspace_count() const { return this->workspaces.size(); }

    void run_for(duration span);
    void set_measuring(bool on) { this->is_measuring = on; }

    /// Nodes of different parts do not reach each other.
    void set_part(std::size_t node, int part);
    void kill(std::size_t node);
    void start(std::size_t node);
    void pause(std::size_t node, duration span);
    /// \param lost_percent Messages that do not arrive.
    /// \param max_delay_ms The longest time that one takes.
    void set_network(int lost_percent, int max_delay_ms);
    /// The callers of a workspace go to other nodes.
    void move_callers(std::size_t workspace);
    /// \returns The node that owns a workspace in the view of all.
    std::size_t owner_of(std::size_t workspace) const;

    /// \returns The largest number of requests in any window of 5 s, divided
    /// by the bound of the limit.
    double worst_window(std::size_t workspace) const;

    random_source& random() { return this->random_numbers; }

private:
    struct seen_node
    {
        bool alive = false;
        bool known = false;
        std::int64_t process = 0;
        bool change_pending = false;
        time_point change_at;
    };
    struct request
    {
        std::size_t workspace = 0;
        int attempt = 0;
        bool is_measured = false;
    };
    struct model_node
    {
        std::unique_ptr<allotments::node_allotments> decisions;
        std::int64_t process = 0;
        int part = 0;
        bool paused = false;
        std::deque<std::function<void()>> held;
        std::vector<seen_node> seen;
        std::map<allotments::claim_number, request> claims;
        std::set<allotments::lease_call_number> calls;
    };
    struct event
    {
        time_point at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return std::pair(this->at, this->number) >
                   std::pair(other.at, other.number);
        }
    };

    void at(time_point when, std::function<void()> action);
    /// Runs an action at a node unless its process has ended; after its pause.
    void at_node(std::size_t node, time_point when,
                 std::function<void()> action);
    bool reaches(std::size_t from, std::size_t to) const;
    /// \returns Whether one message is lost.
    bool loses_message();
    duration draw(int from_ms, int to_ms);
    node_info info_of(std::size_t node) const;
    void tick(std::size_t node);
    void update_view(std::size_t node);
    void see(std::size_t observer, std::size_t other);
    void schedule_arrival(std::size_t workspace);
    void arrive(const request& made, std::size_t node);
    void run_commands(std::size_t node);
    void send(std::size_t node, const allotments::send_command& command);
    void refuse(std::size_t node, const request& made,
                const allotments::allotment_refusal& refusal);
    std::size_t other_node(std::size_t except);

    random_source random_numbers;
    settings::allotment_settings settings;
    time_point now{std::chrono::hours(1)};
    std::vector<model_node> nodes;
    std::deque<model_workspace> workspaces;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t next_event = 0;
    std::int64_t next_claim = 1;
    std::int64_t next_process = 1;
    bool is_measuring = true;
    int lost_messages_percent = 0;
    int max_message_ms = 10;
};

} // namespace parsleytrack::test
