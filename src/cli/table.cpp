#include "cli/table.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace parsleytrack::cli
{

table::table(std::vector<std::string> titles)
{
    this->rows.push_back(std::move(titles));
}

void table::add(std::vector<std::string> cells)
{
    cells.resize(this->rows.front().size());
    this->rows.push_back(std::move(cells));
}

void table::print(std::ostream& out) const
{
    std::vector<std::size_t> widths(this->rows.front().size(), 0);
    for (const auto& row : this->rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    constexpr std::size_t gap = 2;
    for (const auto& row : this->rows)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            line += row[column];
            line.append(widths[column] - row[column].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace parsleytrack::cli
