#pragma once

#include "decisions/replica_info.hpp"
#include "units/numbers.hpp"

#include <cstdint>
#include <map>

namespace parsleytrack
{

/// The platform's list of backend servers, as one node read it.
struct replica_list
{
    /// Highest revision of a key of the list that was ever seen.
    store_revision revision;
    std::map<replica_id, replica_info> replicas;
};

/// \param list Any list.
/// \returns A hash of its replicas, the same on every node.
std::uint64_t hash_of(const replica_list& list);

} // namespace parsleytrack
