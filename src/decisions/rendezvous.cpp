#include "decisions/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace parsleytrack
{

std::uint64_t rendezvous_score(std::string_view candidate, std::string_view key)
{
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    return XXH64(candidate.data(), candidate.size(), seed);
}

std::vector<std::size_t>
rendezvous_rank(const std::vector<std::string>& candidates,
                std::string_view key, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        scores.emplace_back(rendezvous_score(candidates[index], key), index);
    }
    std::sort(scores.begin(), scores.end(), std::greater<>());
    std::vector<std::size_t> ranked;
    for (std::size_t rank = 0; rank < std::min(count, scores.size()); ++rank)
    {
        ranked.push_back(scores[rank].second);
    }
    return ranked;
}

} // namespace parsleytrack
