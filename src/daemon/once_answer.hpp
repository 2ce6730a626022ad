#pragma once

#include <string>

namespace parsleytrack
{

/// The answer of a backend server to a call that must not run twice, kept for
/// callers that send the call again.
struct once_answer
{
    int status = 0;
    std::string content_type;
    std::string body;
};

} // namespace parsleytrack
