#include "daemon/segment_fetch.hpp"

#include "decisions/keeper_choice.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

/// Copies lie with the best few of the order; the rest is for orders that
/// have changed since.
constexpr std::size_t max_candidates = 16;
constexpr duration ask_again_after = std::chrono::seconds(2);

} // namespace

segment_fetch::segment_fetch(node_context& node, keeper_link& link,
                             segment_id segment,
                             const std::vector<node_id>& holders,
                             storage_module::fetch_callback callback)
    : context(node), keepers(link), id(std::move(segment)),
      done(std::move(callback))
{
    for (const node_id& holder : holders)
    {
        const node_info* known = node.fleet.find_node(holder);
        if (known != nullptr && known->state != node_state::dead)
        {
            this->add_candidate(*known);
        }
    }
    for (const node_info& keeper :
         rank_keepers(node.fleet.nodes(), this->id.str()))
    {
        this->add_candidate(keeper);
    }
    // The local copy costs nothing to try.
    std::stable_partition(this->candidates.begin(), this->candidates.end(),
                          [&link](const node_info& keeper)
                          { return link.is_local(keeper); });
}

void segment_fetch::add_candidate(const node_info& keeper)
{
    const auto same = [&keeper](const node_info& other)
    {
        return other.id == keeper.id;
    };
    if (this->candidates.size() < max_candidates &&
        std::none_of(this->candidates.begin(), this->candidates.end(), same))
    {
        this->candidates.push_back(keeper);
    }
}

void segment_fetch::start()
{
    this->context.loop.post([self = this->shared_from_this()]
                            { self->try_next(); });
}

void segment_fetch::try_next()
{
    if (this->next_candidate == this->candidates.size())
    {
        this->done(
            error{error_code::too_few_keepers,
                  "no keeper that can be reached has segment " + this->id.str(),
                  ran_state::no, ask_again_after});
        return;
    }
    const node_info keeper = this->candidates[this->next_candidate++];
    this->keepers.get(
        keeper, this->id,
        [self = this->shared_from_this(), keeper](result<std::string> answer)
        { self->handle_answer(keeper, std::move(answer)); });
}

void segment_fetch::handle_answer(const node_info& keeper,
                                  result<std::string> answer)
{
    if (answer.has_value())
    {
        this->replace_damaged(answer.value());
        this->done(std::move(answer));
        return;
    }
    const auto reason = to_string(answer.error().code);
    this->context.metrics.count("parsleytrack_segment_get_retries_total",
                                {{"reason", std::string(reason)}});
    if (answer.error().code == error_code::corrupt_data)
    {
        log_event(log_level::error, "segment_damaged",
                  {{"keeper", keeper.id.str()}, {"segment", this->id.str()}});
        this->damaged.push_back(keeper);
    }
    this->try_next();
}

void segment_fetch::replace_damaged(const std::string& bytes)
{
    for (const node_info& keeper : this->damaged)
    {
        this->keepers.put(keeper, this->id, bytes, [](const result<bool>&) {});
    }
}

} // namespace parsleytrack
