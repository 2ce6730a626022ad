#pragma once

#include "daemon/node_context.hpp"
#include "decisions/membership.hpp"
#include "decisions/region_table.hpp"
#include "net/timer.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// Carries summaries of regions. A few chosen nodes exchange them with nodes
/// of other regions and put them on the gossip board of their own.
class region_bridge
{
public:
    /// \param node Outlives this object.
    /// \param membership_view Outlives this object.
    region_bridge(node_context& node, const membership& membership_view);

    /// \returns What is known of the regions.
    const region_table& regions() const { return this->table; }

private:
    void run();
    void merge(std::string_view bytes);
    void summarise_own_region();
    void tell_own_region();
    void exchange_with_others();
    void exchange(const endpoint& target);
    void find_contacts();

    node_context& context;
    const membership& members;
    region_table table;
    /// What was last put on the board, without versions.
    std::vector<region_summary> told;
    std::map<region_name, std::vector<endpoint>> listed_contacts;
    std::map<std::int64_t, std::unique_ptr<wire::peer_call>> calls;
    std::int64_t next_call = 1;
    int rounds = 0;
    net::timer timer;
    // Callbacks of the store may come after this object is gone.
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

} // namespace parsleytrack
