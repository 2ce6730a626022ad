#include "units/endpoint.hpp"

namespace parsleytrack
{

std::string to_string(const endpoint& target)
{
    return target.host + ":" + std::to_string(target.port);
}

} // namespace parsleytrack
