#include "daemon/line_splitter.hpp"

#include <utility>

namespace parsleytrack
{

line_splitter::line_splitter(std::size_t line_limit, line_callback on_line,
                             overflow_callback on_overflow)
    : limit(line_limit), line(std::move(on_line)),
      overflow(std::move(on_overflow))
{
}

void line_splitter::feed(std::string_view piece)
{
    while (!piece.empty())
    {
        const std::size_t end = piece.find('\n');
        this->add(piece.substr(0, end));
        if (end == std::string_view::npos)
        {
            return;
        }
        this->end_line();
        piece.remove_prefix(end + 1);
    }
}

void line_splitter::finish()
{
    if (!this->partial.empty() || this->too_long)
    {
        this->end_line();
    }
}

void line_splitter::add(std::string_view part)
{
    if (this->too_long || part.size() > this->limit - this->partial.size())
    {
        this->too_long = true;
        this->partial.clear();
        return;
    }
    this->partial.append(part);
}

void line_splitter::end_line()
{
    const int ended = this->number++;
    if (std::exchange(this->too_long, false))
    {
        this->overflow(ended);
        return;
    }
    if (!this->partial.empty() && this->partial.back() == '\r')
    {
        this->partial.pop_back();
    }
    this->line(ended, this->partial);
    this->partial.clear();
}

} // namespace parsleytrack
