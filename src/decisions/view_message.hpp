#pragma once

#include "decisions/board_item.hpp"
#include "decisions/board_version.hpp"
#include "decisions/member_record.hpp"
#include "units/ids.hpp"

#include <vector>

namespace parsleytrack
{

/// The request or the response of a full exchange of views between two nodes.
struct view_message
{
    region_name region;
    node_id sender;
    std::vector<member_record> members;
    /// In a request: the board values that the sender holds.
    std::vector<board_version> known;
    /// In a response: board values that the requester lacks or holds in older
    /// versions.
    std::vector<board_item> items;
};

} // namespace parsleytrack
