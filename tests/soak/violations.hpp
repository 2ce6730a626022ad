#pragma once

#include <string>
#include <vector>

namespace parsleytrack::soak
{

/// Promises that were broken in a run.
class violations
{
public:
    /// \param promise Which one, in a few words.
    /// \param seen What was seen instead.
    void add(const std::string& promise, const std::string& seen)
    {
        this->list.push_back(promise + ": " + seen);
    }

    const std::vector<std::string>& all() const { return this->list; }

private:
    std::vector<std::string> list;
};

} // namespace parsleytrack::soak
