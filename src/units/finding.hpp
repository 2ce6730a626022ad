#pragma once

#include <string>
#include <vector>

namespace parsleytrack
{

/// One error in a document, and its location.
struct finding
{
    /// File and line, or a JSON pointer into the document.
    std::string location;
    /// What is wrong and which values are valid.
    std::string message;
};

/// All errors in a document; empty when it is valid.
using findings = std::vector<finding>;

} // namespace parsleytrack
