#include "decisions/prefix_record.hpp"

namespace parsleytrack
{

prefix_record::prefix_record(std::size_t blocks) : capacity(blocks) {}

void prefix_record::sent(const std::vector<std::uint64_t>& hashes)
{
    // From the end, so that the start of a prompt is kept longest: a block is
    // of no use without those before it.
    for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash)
    {
        this->touch(*hash);
    }
}

void prefix_record::stored(std::uint64_t hash)
{
    if (this->positions.count(hash) == 0)
    {
        this->touch(hash);
    }
}

void prefix_record::evicted(std::uint64_t hash)
{
    const auto found = this->positions.find(hash);
    if (found != this->positions.end())
    {
        this->order.erase(found->second);
        this->positions.erase(found);
    }
}

std::size_t
prefix_record::cached_blocks(const std::vector<std::uint64_t>& hashes) const
{
    std::size_t count = 0;
    while (count < hashes.size() && this->positions.count(hashes[count]) > 0)
    {
        count += 1;
    }
    return count;
}

void prefix_record::touch(std::uint64_t hash)
{
    const auto found = this->positions.find(hash);
    if (found != this->positions.end())
    {
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    this->order.push_front(hash);
    this->positions[hash] = this->order.begin();
    if (this->order.size() > this->capacity)
    {
        this->positions.erase(this->order.back());
        this->order.pop_back();
    }
}

} // namespace parsleytrack
