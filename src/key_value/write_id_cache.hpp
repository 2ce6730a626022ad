#pragma once

#include "units/numbers.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// Remembers the write ids of values that were read, since the next write of a
/// key carries them on.
class write_id_cache
{
public:
    /// \param limit The most keys to remember.
    explicit write_id_cache(std::size_t limit) : key_limit(limit) {}

    /// Remembers the ids at a revision; the newest revision counts.
    void remember(const std::string& key, store_revision revision,
                  std::vector<std::string> write_ids);

    /// \returns The ids at a revision, or null when they are not known.
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
    /// Keys in the order in which they were first remembered.
    std::deque<std::string> insertion_order;
};

} // namespace parsleytrack::key_value
