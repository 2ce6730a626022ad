#pragma once

namespace parsleytrack::cli
{

/// Exit code of the process.
enum class exit_code
{
    done = 0,
    /// The fleet refused the request, a job or a release did not reach the
    /// awaited state, or a check has findings.
    refused = 1,
    /// The command or its flags are wrong, or a file cannot be read or written.
    usage = 2,
    /// No node could be reached.
    unreachable = 3
};

} // namespace parsleytrack::cli
