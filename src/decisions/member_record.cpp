#include "decisions/member_record.hpp"

namespace parsleytrack
{

node_info member_record::visible() const
{
    node_info seen = this->node;
    if (this->leaving && seen.state != node_state::dead)
    {
        seen.state = node_state::leaving;
    }
    return seen;
}

} // namespace parsleytrack
