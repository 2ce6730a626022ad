#pragma once

#include "daemon/keeper_link.hpp"
#include "daemon/storage_module.hpp"

#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Writes one segment to several keepers. A keeper that fails is replaced by
/// the next best, until there is none left to try.
class replicated_put : public std::enable_shared_from_this<replicated_put>
{
public:
    /// \param node What the modules share.
    /// \param link Reaches the keepers.
    /// \param bytes The segment's content.
    /// \param callback See storage_module::put_everywhere().
    replicated_put(node_context& node, keeper_link& link, std::string bytes,
                   storage_module::put_callback callback);

    /// Begins; no callback before it returns.
    void start();

private:
    void try_next();
    void handle_answer(const node_info& keeper, const result<bool>& answer);
    void finish_if_settled();

    node_context& context;
    keeper_link& keepers;
    std::string content;
    segment_id id;
    storage_module::put_callback done;
    std::vector<node_info> candidates;
    std::size_t next_candidate = 0;
    std::size_t in_flight = 0;
    std::vector<node_id> holders;
};

} // namespace parsleytrack
