#include "units/allocator.hpp"

#include <malloc.h>

namespace parsleytrack
{

namespace
{

/// Blocks from this size on are mapped one by one; most bodies are smaller.
constexpr int large_block_bytes = 128 * 1024;

} // namespace

void return_large_blocks_at_once()
{
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, large_block_bytes);
}

} // namespace parsleytrack
