#pragma once

namespace parsleytrack
{

/// Makes the allocator return large blocks to the system as soon as they are
/// freed. By default it keeps growing the size from which it does so, and what
/// one crowd of large requests has left adds to the memory of the next.
void return_large_blocks_at_once();

} // namespace parsleytrack
