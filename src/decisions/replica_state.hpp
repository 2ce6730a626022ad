#pragma once

namespace parsleytrack
{

/// Whether a backend server takes new work.
enum class replica_state
{
    live,
    /// Finishes what it has; gets no new work.
    leaving
};

} // namespace parsleytrack
