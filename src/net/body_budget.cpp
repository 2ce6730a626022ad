#include "net/body_budget.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::net
{

namespace
{

constexpr std::int64_t memory_parts = 4;
constexpr std::int64_t address_parts = 4;
/// One part in this many is kept for small bodies.
constexpr std::int64_t reserve_parts = 8;
/// Beyond a body of the maximum size, room for what is read with it.
constexpr std::int64_t extra_bytes = 64 * 1024;

bool exceeds(std::size_t bytes, std::int64_t limit)
{
    return limit > 0 && bytes > static_cast<std::size_t>(limit);
}

/// \returns The part of a limit that is open to bodies of any size.
std::int64_t without_reserve(std::int64_t limit)
{
    return limit - limit / reserve_parts;
}

} // namespace

body_budget::limits body_budget::limits_for(byte_count memory,
                                            byte_count max_body)
{
    // One body must fit without the part kept for small ones.
    const std::int64_t needed =
        (max_body.count() + extra_bytes) * reserve_parts / (reserve_parts - 1);
    const std::int64_t total = std::max(memory.count() / memory_parts, needed);
    return limits{byte_count(total),
                  byte_count(std::max(total - total / address_parts, needed))};
}

void body_budget::add(connection_number connection, const std::string& address)
{
    this->entries[connection].address = address;
}

void body_budget::remove(connection_number connection)
{
    const auto found = this->entries.find(connection);
    if (found != this->entries.end())
    {
        this->set_bytes(found->second, 0);
        this->entries.erase(found);
    }
}

std::vector<connection_number> body_budget::update(connection_number connection,
                                                   const usage& current,
                                                   std::size_t moved_bytes,
                                                   time_point now)
{
    std::vector<connection_number> closed;
    const auto found = this->entries.find(connection);
    if (found == this->entries.end() || found->second.closing)
    {
        return closed;
    }
    entry& changed = found->second;
    const bool grows = current.bytes > changed.current.bytes;
    advance(changed, now);
    changed.moved += moved_bytes;
    changed.current.closable = current.closable;
    this->set_bytes(changed, current.bytes);
    while (grows)
    {
        const auto chosen = this->select(changed, now);
        if (chosen == this->entries.end())
        {
            break;
        }
        chosen->second.closing = true;
        this->set_bytes(chosen->second, 0);
        closed.push_back(chosen->first);
    }
    return closed;
}

void body_budget::advance(entry& changed, time_point now)
{
    const duration age = now - changed.window_start;
    if (age < progress_window)
    {
        return;
    }
    changed.moved_before = age < 2 * progress_window ? changed.moved : 0;
    changed.moved = 0;
    changed.window_start = now;
}

std::size_t body_budget::progress(const entry& asked, time_point now)
{
    entry advanced = asked;
    advance(advanced, now);
    return advanced.moved + advanced.moved_before;
}

void body_budget::set_bytes(entry& changed, std::size_t bytes)
{
    std::size_t& of_address = this->bytes_by_address[changed.address];
    this->buffered += bytes - changed.current.bytes;
    of_address += bytes - changed.current.bytes;
    changed.current.bytes = bytes;
    if (of_address == 0)
    {
        this->bytes_by_address.erase(changed.address);
    }
}

body_budget::entry_map::iterator body_budget::select(const entry& grown,
                                                     time_point now)
{
    const bool is_small = grown.current.bytes <= small_bytes;
    const auto open_part = [is_small](byte_count limit)
    {
        return is_small ? limit.count() : without_reserve(limit.count());
    };
    const auto used = this->bytes_by_address.find(grown.address);
    if (used != this->bytes_by_address.end() &&
        exceeds(used->second, open_part(this->bounds.per_address)))
    {
        const auto chosen = this->least_progress(grown.address, now);
        if (chosen != this->entries.end())
        {
            return chosen;
        }
    }
    return exceeds(this->buffered, open_part(this->bounds.total))
               ? this->least_progress({}, now)
               : this->entries.end();
}

body_budget::entry_map::iterator
body_budget::least_progress(const std::string& address, time_point now)
{
    const auto chosen = this->least_progress(address, small_bytes, now);
    return chosen == this->entries.end() ? this->least_progress(address, 0, now)
                                         : chosen;
}

body_budget::entry_map::iterator
body_budget::least_progress(const std::string& address, std::size_t more_than,
                            time_point now)
{
    auto best = this->entries.end();
    std::size_t least = 0;
    for (auto each = this->entries.begin(); each != this->entries.end(); ++each)
    {
        const entry& candidate = each->second;
        if (candidate.closing || !candidate.current.closable ||
            candidate.current.bytes <= more_than ||
            (!address.empty() && candidate.address != address))
        {
            continue;
        }
        const std::size_t made = progress(candidate, now);
        if (best == this->entries.end() || made < least ||
            (made == least &&
             candidate.current.bytes > best->second.current.bytes))
        {
            best = each;
            least = made;
        }
    }
    return best;
}

} // namespace parsleytrack::net
