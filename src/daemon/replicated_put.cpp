#include "daemon/replicated_put.hpp"

#include "decisions/keeper_choice.hpp"
#include "logging/log.hpp"
#include "storage/segment_store.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

/// One lost instance must never lose acknowledged work.
constexpr std::size_t fewest_copies = 2;
constexpr duration ask_again_after = std::chrono::seconds(5);

} // namespace

replicated_put::replicated_put(node_context& node, keeper_link& link,
                               std::string bytes,
                               storage_module::put_callback callback)
    : context(node), keepers(link), content(std::move(bytes)),
      id(storage::checksum_of(this->content)), done(std::move(callback)),
      candidates(rank_keepers(node.fleet.nodes(), this->id.str()))
{
}

void replicated_put::start()
{
    if (this->candidates.size() < fewest_copies)
    {
        this->candidates.clear();
        this->context.loop.post([self = this->shared_from_this()]
                                { self->finish_if_settled(); });
        return;
    }
    const auto wanted = static_cast<std::size_t>(std::max(
        static_cast<int>(fewest_copies), this->context.settings.batch.copies));
    for (std::size_t copy = 0; copy < wanted; ++copy)
    {
        this->try_next();
    }
}

void replicated_put::try_next()
{
    if (this->next_candidate == this->candidates.size())
    {
        return;
    }
    const node_info keeper = this->candidates[this->next_candidate++];
    ++this->in_flight;
    this->keepers.put(
        keeper, this->id, this->content,
        [self = this->shared_from_this(), keeper](const result<bool>& answer)
        { self->handle_answer(keeper, answer); });
}

void replicated_put::handle_answer(const node_info& keeper,
                                   const result<bool>& answer)
{
    --this->in_flight;
    if (answer.has_value())
    {
        this->holders.push_back(keeper.id);
    }
    else
    {
        const auto reason = to_string(answer.error().code);
        this->context.metrics.count("parsleytrack_segment_put_retries_total",
                                    {{"reason", std::string(reason)}});
        log_event(log_level::warning, "segment_put_failed",
                  {{"keeper", keeper.id.str()},
                   {"reason", reason},
                   {"message", answer.error().message}});
        this->try_next();
    }
    this->finish_if_settled();
}

void replicated_put::finish_if_settled()
{
    if (this->in_flight > 0 || !this->done)
    {
        return;
    }
    const auto callback = std::exchange(this->done, nullptr);
    if (this->holders.size() < fewest_copies)
    {
        this->context.metrics.count("parsleytrack_refusals_total",
                                    {{"reason", "too_few_keepers"}});
        callback(error{error_code::too_few_keepers,
                       "only " + std::to_string(this->holders.size()) +
                           " keepers can be reached; 2 are needed",
                       ran_state::no, ask_again_after});
        return;
    }
    if (this->holders.size() <
        static_cast<std::size_t>(this->context.settings.batch.copies))
    {
        this->context.metrics.count("parsleytrack_segment_short_puts_total",
                                    {});
    }
    callback(placement{this->id, this->holders});
}

} // namespace parsleytrack
