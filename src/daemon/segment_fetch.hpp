#pragma once

#include "daemon/keeper_link.hpp"
#include "daemon/storage_module.hpp"

#include <memory>
#include <vector>

namespace parsleytrack
{

/// Reads one segment, asking one keeper after another until one returns an
/// intact copy. Damaged copies met on the way are replaced.
class segment_fetch : public std::enable_shared_from_this<segment_fetch>
{
public:
    /// \param node What the modules share.
    /// \param link Reaches the keepers.
    /// \param segment The segment.
    /// \param holders The keepers to ask first.
    /// \param callback See storage_module::fetch().
    segment_fetch(node_context& node, keeper_link& link, segment_id segment,
                  const std::vector<node_id>& holders,
                  storage_module::fetch_callback callback);

    /// Begins; no callback before it returns.
    void start();

private:
    void add_candidate(const node_info& keeper);
    void try_next();
    void handle_answer(const node_info& keeper, result<std::string> answer);
    void replace_damaged(const std::string& bytes);

    node_context& context;
    keeper_link& keepers;
    segment_id id;
    storage_module::fetch_callback done;
    std::vector<node_info> candidates;
    std::vector<node_info> damaged;
    std::size_t next_candidate = 0;
};

} // namespace parsleytrack
