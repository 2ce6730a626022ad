#include "key_value/write_resolution.hpp"

#include "units/invariant.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack::key_value
{

namespace
{

constexpr char attempt_separator = '.';

bool contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool contains_attempt_of(const std::vector<std::string>& ids,
                         const std::string& write_id)
{
    const std::string start = write_id + attempt_separator;
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

std::string write_resolution::next_attempt_id()
{
    ++this->attempts;
    return this->write_id + attempt_separator + std::to_string(this->attempts);
}

write_status write_resolution::record_success()
{
    return this->decide(write_status::applied);
}

write_status write_resolution::record_failed_compare(
    store_revision revision, const std::vector<std::string>& write_ids)
{
    check_invariant(revision != this->expected,
                    "a comparison fails only if the revision differs");
    if (contains_attempt_of(write_ids, this->write_id))
    {
        return this->decide(write_status::applied);
    }
    if (!this->response_lost)
    {
        return this->decide(write_status::not_applied);
    }
    // If the base id is still listed, the key was overwritten but not deleted
    // since, and the ids include all writes after the expected revision; this
    // write is not among them.
    const bool complete =
        !this->base_id.empty() && contains(write_ids, this->base_id);
    return this->decide(complete ? write_status::not_applied
                                 : write_status::unknown);
}

write_status write_resolution::abandon()
{
    return this->decide(this->response_lost ? write_status::unknown
                                            : write_status::not_applied);
}

write_status write_resolution::decide(write_status status)
{
    check_invariant(this->decided == write_status::pending,
                    "the outcome of a write is decided only once");
    this->decided = status;
    return status;
}

} // namespace parsleytrack::key_value
