#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace parsleytrack
{

/// Cuts a stream of bytes into lines, holding at most one line at a time.
class line_splitter
{
public:
    /// Gets a line's number, from 1, and the line without its line feed.
    using line_callback = std::function<void(int, std::string_view)>;
    /// Gets the number of a line that is too long; the line is dropped.
    using overflow_callback = std::function<void(int)>;

    /// \param line_limit The most bytes of a line.
    /// \param on_line Gets each line.
    /// \param on_overflow Told of lines that are too long.
    line_splitter(std::size_t line_limit, line_callback on_line,
                  overflow_callback on_overflow);

    /// Takes the next piece of the stream.
    void feed(std::string_view piece);

    /// Passes on a last line that had no line feed.
    void finish();

    /// \returns Bytes held.
    std::size_t buffered_bytes() const { return this->partial.capacity(); }

private:
    void add(std::string_view part);
    void end_line();

    std::size_t limit;
    line_callback line;
    overflow_callback overflow;
    std::string partial;
    int number = 1;
    bool too_long = false;
};

} // namespace parsleytrack
