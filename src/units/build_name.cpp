#include "units/build_name.hpp"

namespace parsleytrack
{

std::string build_name()
{
    return PARSLEYTRACK_BUILD;
}

} // namespace parsleytrack
