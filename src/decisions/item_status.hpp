#pragma once

namespace parsleytrack
{

/// How a batch item has ended.
enum class item_status
{
    completed,
    failed,
    cancelled,
    /// Must not run twice, and whether it has run is not known.
    may_have_run
};

/// \returns The status as it stands in result lines.
constexpr const char* to_string(item_status status)
{
    switch (status)
    {
    case item_status::completed:
        return "completed";
    case item_status::failed:
        return "failed";
    case item_status::cancelled:
        return "cancelled";
    case item_status::may_have_run:
        return "may_have_run";
    }
    return "failed";
}

} // namespace parsleytrack
