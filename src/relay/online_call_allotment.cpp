// How a request counts towards the allotment of its workspace.

#include "relay/online_call.hpp"

namespace parsleytrack::relay
{

bool online_call::claim_allotment()
{
    const workspaces::workspace* workspace = this->request.workspace;
    if (this->is_claimed || workspace == nullptr)
    {
        return true;
    }
    if (!workspace->limit.is_limited())
    {
        this->count_granted();
        return true;
    }
    if (this->claim)
    {
        // Still waits for its outcome.
        return false;
    }
    // The claim may be decided before claim() returns.
    const auto in_call = std::make_shared<bool>(true);
    this->claim = this->context.allotments.claim(
        workspace->name, workspace->limit,
        this->request.table->contents().version,
        [this, in_call]
        {
            this->count_granted();
            if (!*in_call)
            {
                this->request_slot();
            }
        },
        [this](const allotments::allotment_refusal& refusal)
        {
            this->context.workspace_requests.count_refused(
                this->request.workspace->name, net::event_loop::now());
            this->fail(refusal.over_limit
                           ? error{error_code::workspace_limit,
                                   "the workspace has used up its allotment",
                                   ran_state::no, refusal.retry_after}
                           : error{error_code::peer_unreachable,
                                   "this node does not know what is left of "
                                   "the workspace's allotment",
                                   ran_state::no, refusal.retry_after});
        });
    *in_call = false;
    return this->is_claimed;
}

void online_call::count_granted()
{
    this->is_claimed = true;
    this->context.workspace_requests.count_granted(
        this->request.workspace->name, net::event_loop::now());
}

} // namespace parsleytrack::relay
