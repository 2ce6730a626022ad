#pragma once

#include "units/strong_number.hpp"

namespace parsleytrack
{

using byte_count = strong_number<struct byte_count_tag>;
using token_count = strong_number<struct token_count_tag>;
/// Version of the active configuration; increases, but not always by one.
using configuration_version = strong_number<struct configuration_version_tag>;
/// Version of the active release; increases by one with each accepted note.
using release_version = strong_number<struct release_version_tag>;
/// Increases with each new holder of a lease or a gate.
using epoch_number = strong_number<struct epoch_number_tag>;
/// Sent with control requests to an engine, which refuses an outdated number.
using fencing_number = strong_number<struct fencing_number_tag>;
/// Revision of one key in the platform's store; 0 means "absent".
using store_revision = strong_number<struct store_revision_tag>;
/// Identifies a pending call to the platform's store within this process.
using store_call_number = strong_number<struct store_call_number_tag>;
/// Position of a lot within its job, from 0.
using lot_index = strong_number<struct lot_index_tag>;
/// Position of an item within its job, from 0.
using item_index = strong_number<struct item_index_tag>;
/// Attempt at a request or item, from 1.
using attempt_number = strong_number<struct attempt_number_tag>;
/// Identifies one run of a node's process; drawn at random when it starts, so
/// that it is unique whatever the time of day is.
using process_number = strong_number<struct process_number_tag>;
/// SWIM incarnation of a node.
using incarnation_number = strong_number<struct incarnation_number_tag>;

} // namespace parsleytrack
