#pragma once

#include "daemon/call_set.hpp"
#include "decisions/node_info.hpp"
#include "storage/kept_record.hpp"
#include "storage/segment_store.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Reaches the segments of one keeper at a time, be it this node or another.
class keeper_link
{
public:
    using done_callback = std::function<void(result<bool>)>;
    using bytes_callback = std::function<void(result<std::string>)>;
    using missing_callback =
        std::function<void(result<std::vector<segment_id>>)>;
    using records_callback =
        std::function<void(result<std::vector<storage::kept_record>>)>;

    /// \param node What the modules share.
    /// \param local This node's segments; null when it is not a keeper.
    keeper_link(node_context& node, storage::segment_store* local);

    /// \returns Whether the keeper is this node.
    bool is_local(const node_info& keeper) const;

    /// Has a keeper sync a segment to its disk.
    void put(const node_info& keeper, const segment_id& id,
             const std::string& bytes, done_callback callback);

    /// Reads a segment from a keeper; its checksum is checked here again.
    void get(const node_info& keeper, const segment_id& id,
             bytes_callback callback);

    /// Asks a keeper which of some segments it does not have.
    void find_missing(const node_info& keeper,
                      const std::vector<segment_id>& ids,
                      missing_callback callback);

    /// Has a keeper keep a copy of a record.
    void put_record(const node_info& keeper, const storage::kept_record& record,
                    done_callback callback);

    /// Reads a keeper's copies of records.
    void list_records(const node_info& keeper, const std::string& prefix,
                      records_callback callback);

private:
    node_context& context;
    storage::segment_store* local_store;
    call_set calls;
};

} // namespace parsleytrack
