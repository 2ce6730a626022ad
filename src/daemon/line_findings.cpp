#include "daemon/line_findings.hpp"

namespace parsleytrack
{

namespace
{

/// As many as a person mends before the next try.
constexpr std::size_t max_findings = 10;

} // namespace

void line_findings::add(int number, error_code code, const std::string& message)
{
    if (this->empty())
    {
        this->first_code = code;
    }
    else
    {
        this->text += "; ";
    }
    this->text += "line " + std::to_string(number) + ": " + message;
    ++this->count;
}

bool line_findings::is_full() const
{
    return this->full || this->count >= max_findings;
}

error line_findings::to_error() const
{
    return error{this->first_code, this->text, ran_state::no, {}};
}

} // namespace parsleytrack
