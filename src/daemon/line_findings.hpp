#pragma once

#include "units/error.hpp"

#include <cstddef>
#include <string>

namespace parsleytrack
{

/// What is wrong with the lines of a body, reported together.
class line_findings
{
public:
    /// Adds what is wrong with a line.
    ///
    /// \param number The line, from 1.
    /// \param code The kind; the first one is that of the whole body.
    /// \param message What is wrong, for people.
    void add(int number, error_code code, const std::string& message);

    /// From now on there are findings enough.
    void set_full() { this->full = true; }

    /// \returns Whether later lines need not be looked at.
    bool is_full() const;

    /// \returns Whether nothing is wrong.
    bool empty() const { return this->count == 0; }

    /// \returns All findings as one error of a body that did not run.
    error to_error() const;

private:
    std::size_t count = 0;
    error_code first_code = error_code::bad_request;
    std::string text;
    bool full = false;
};

} // namespace parsleytrack
