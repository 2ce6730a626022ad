#pragma once

#include "units/numbers.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// Caches the write ids of values that were read, because the next write of a
/// key must include them in its envelope.
class write_id_cache
{
public:
    /// \param limit The most keys to cache; the oldest key is evicted.
    explicit write_id_cache(std::size_t limit) : key_limit(limit) {}

    /// Caches the ids of a revision, unless a newer revision is cached.
    void remember(const std::string& key, store_revision revision,
                  std::vector<std::string> write_ids);

    /// \returns The ids of this revision, or null if they are not cached.
    const std::vector<std::string>* find(const std::string& key,
                                         store_revision revision) const;

private:
    struct entry
    {
        store_revision revision;
        std::vector<std::string> write_ids;
    };

    std::size_t key_limit;
    std::map<std::string, entry> entries;
    /// Keys in the order in which they were first cached, for eviction.
    std::deque<std::string> insertion_order;
};

} // namespace parsleytrack::key_value
