#pragma once

#include "daemon/keeper_link.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Makes lost copies again: walks this keeper's own segments and records after
/// each change of the set of keepers, and gives copies to those keepers that
/// rank first for them and have none.
class segment_repair
{
public:
    /// \param node What the modules share.
    /// \param store This keeper's segments.
    /// \param link Reaches the other keepers.
    /// \param settle How long the set of keepers has to stay the same before
    /// copying begins, so that a mere restart does not set it off.
    segment_repair(node_context& node, storage::segment_store& store,
                   keeper_link& link, duration settle);

private:
    void tick();
    void next_page();
    void check_next_target();
    void copy_next(const node_info& target, std::vector<segment_id> missing);
    void copy_records();
    std::vector<node_info> other_holders(const std::string& key) const;

    node_context& context;
    storage::segment_store& segments;
    keeper_link& keepers;
    duration settle_time;
    std::set<node_id> last_keepers;
    time_point changed_at;
    bool pass_wanted = false;
    bool running = false;
    segment_id cursor;
    std::string record_cursor;
    std::map<node_id, std::vector<segment_id>> to_check;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    net::timer timer;
};

} // namespace parsleytrack
