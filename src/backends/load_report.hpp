#pragma once

namespace parsleytrack::backends
{

/// What a backend server says of its load, as it was some time ago.
struct load_report
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

} // namespace parsleytrack::backends
