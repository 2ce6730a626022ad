#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace parsleytrack::cli
{

/// Prints rows of text in aligned columns.
class table
{
public:
    /// \param titles The heading of each column.
    explicit table(std::vector<std::string> titles);

    /// \param cells One text for each column; missing ones stay empty.
    void add(std::vector<std::string> cells);

    /// Writes the heading and the rows.
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace parsleytrack::cli
