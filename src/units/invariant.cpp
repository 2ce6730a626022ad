#include "units/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace parsleytrack
{

void check_invariant(bool condition, const char* description)
{
    if (condition)
    {
        return;
    }
    std::fputs("event=invariant_broken what=\"", stderr);
    std::fputs(description, stderr);
    std::fputs("\"\n", stderr);
    std::abort();
}

} // namespace parsleytrack
