#pragma once

#include "units/numbers.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace parsleytrack::relay
{

/// Bounds the submissions that are decoded and written to the store at the same
/// time. Each exists about six times meanwhile: as items, as records, and as
/// the request to the store.
class submission_limit
{
public:
    /// \param max_bytes Maximum sum of the sizes; a single submission is always
    /// allowed.
    explicit submission_limit(byte_count max_bytes) : limit(max_bytes) {}

    /// \param bytes Size of a submission.
    /// \returns Holds the room until it is destroyed, which may be after this
    /// object; empty if there is none.
    std::shared_ptr<const void> claim(std::size_t bytes)
    {
        const auto sum = this->in_progress;
        const auto added = static_cast<std::int64_t>(bytes);
        if (*sum > 0 && *sum + added > this->limit.count())
        {
            return nullptr;
        }
        *sum += added;
        // The pointer only has to differ from null.
        return {sum.get(), [sum, added](const void*)
                {
                    *sum -= added;
                }};
    }

private:
    byte_count limit;
    std::shared_ptr<std::int64_t> in_progress =
        std::make_shared<std::int64_t>(0);
};

} // namespace parsleytrack::relay
