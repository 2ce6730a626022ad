#include "decisions/stream_resume.hpp"

#include "units/invariant.hpp"

namespace parsleytrack
{

attempt_number stream_resume::begin_attempt()
{
    check_invariant(!this->whole, "a whole answer is not attempted again");
    this->newest = this->newest.next();
    this->owner = this->newest;
    return this->newest;
}

bool stream_resume::accept(attempt_number attempt, std::string_view text)
{
    if (!this->owns(attempt) || this->whole)
    {
        return false;
    }
    this->received.append(text);
    return true;
}

bool stream_resume::complete(attempt_number attempt)
{
    if (!this->owns(attempt) || this->whole)
    {
        return false;
    }
    this->whole = true;
    this->owner.reset();
    return true;
}

} // namespace parsleytrack
