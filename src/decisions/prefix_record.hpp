#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace parsleytrack
{

/// Which prompt blocks a replica is believed to hold in its cache: those that
/// were sent to it, the least recently used forgotten first. The replica's own
/// cache events come late and with gaps, so they only correct the record.
class prefix_record
{
public:
    /// \param capacity Most blocks that the replica's cache holds.
    explicit prefix_record(std::size_t capacity);

    /// Records that a prompt was sent.
    ///
    /// \param hashes Its blocks, as chained hashes.
    void sent(const std::vector<std::uint64_t>& hashes);

    /// The replica says that it holds, or has dropped, a block.
    void stored(std::uint64_t hash);
    void evicted(std::uint64_t hash);

    /// \returns How many blocks at the start of a prompt are believed cached.
    std::size_t cached_blocks(const std::vector<std::uint64_t>& hashes) const;

    std::size_t size() const { return this->positions.size(); }

private:
    void touch(std::uint64_t hash);

    std::size_t capacity;
    /// The most recently used first.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        positions;
};

} // namespace parsleytrack
