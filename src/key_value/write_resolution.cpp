#include "key_value/write_resolution.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::key_value
{

namespace
{

constexpr char copy_separator = '.';

bool contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool contains_copy_of(const std::vector<std::string>& ids,
                      const std::string& write_id)
{
    const std::string start = write_id + copy_separator;
    return std::any_of(ids.begin(), ids.end(),
                       [&start](const std::string& id)
                       { return id.starts_with(start); });
}

} // namespace

write_resolution::write_resolution(std::string id, store_revision revision,
                                   std::string base)
    : write_id(std::move(id)), expected(revision), base_id(std::move(base))
{
}

std::string write_resolution::next_copy_id()
{
    ++this->copies;
    return this->write_id + copy_separator + std::to_string(this->copies);
}

write_verdict write_resolution::succeeded()
{
    return this->decide(write_verdict::applied);
}

write_verdict
write_resolution::failed(store_revision revision,
                         const std::vector<std::string>& write_ids)
{
    check_invariant(revision != this->expected,
                    "a compare fails only on another revision");
    if (contains_copy_of(write_ids, this->write_id))
    {
        return this->decide(write_verdict::applied);
    }
    if (!this->lost)
    {
        return this->decide(write_verdict::not_applied);
    }
    // The key was overwritten in turn and never deleted: all writes since the
    // expected revision are among the ids, and this one is not.
    const bool complete =
        !this->base_id.empty() && contains(write_ids, this->base_id);
    return this->decide(complete ? write_verdict::not_applied
                                 : write_verdict::unknown);
}

write_verdict write_resolution::give_up()
{
    return this->decide(this->lost ? write_verdict::unknown
                                   : write_verdict::not_applied);
}

write_verdict write_resolution::decide(write_verdict verdict)
{
    check_invariant(this->decided == write_verdict::pending,
                    "a write is decided once");
    this->decided = verdict;
    return verdict;
}

} // namespace parsleytrack::key_value
