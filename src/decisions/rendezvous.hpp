#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack
{

/// \param candidate The name of a candidate, such as a node id.
/// \param key The key to be assigned to a candidate.
/// \returns The candidate's score; the highest score wins.
std::uint64_t rendezvous_score(std::string_view candidate,
                               std::string_view key);

/// Ranks candidates for a key by rendezvous hashing: adding or removing a
/// candidate reassigns only the keys that it wins.
///
/// \param candidates The names of the candidates.
/// \param key The key to be assigned.
/// \param count Maximum number of results.
/// \returns Indexes into candidates, best first; fewer than count if there are
/// fewer candidates.
std::vector<std::size_t>
rendezvous_rank(const std::vector<std::string>& candidates,
                std::string_view key, std::size_t count);

} // namespace parsleytrack
