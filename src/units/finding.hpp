#pragma once

#include <string>
#include <vector>

namespace parsleytrack
{

/// One thing that is wrong with a document, and where.
struct finding
{
    /// File and line, or a JSON pointer into the document.
    std::string location;
    /// One sentence: what is wrong and what is allowed.
    std::string message;
};

/// All that is wrong with a document; empty when it is valid.
using findings = std::vector<finding>;

} // namespace parsleytrack
