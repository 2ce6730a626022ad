// The callers of the model: their requests, retries and what came of them.

#include "allotments/model_world.hpp"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

namespace parsleytrack::test
{

namespace
{

using namespace allotments;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int max_attempts = 3;

} // namespace

void model_world::schedule_arrival(std::size_t workspace)
{
    const model_workspace& known = this->workspaces[workspace];
    const bool is_idle = known.demand <= 0.0;
    std::exponential_distribution<double> gap(is_idle ? 10.0 : known.demand);
    const auto wait = duration_cast<duration>(
        std::chrono::duration<double>(gap(this->random_numbers)));
    this->at(this->now + wait,
             [this, workspace, is_idle]
             {
                 model_workspace& made = this->workspaces[workspace];
                 if (!is_idle)
                 {
                     std::uniform_int_distribution<std::size_t> choose(
                         0, made.entries.size() - 1);
                     made.made += this->is_measuring ? 1 : 0;
                     this->arrive(request{workspace, 1, this->is_measuring},
                                  made.entries[choose(this->random_numbers)]);
                 }
                 this->schedule_arrival(workspace);
             });
}

std::size_t model_world::other_node(std::size_t except)
{
    std::uniform_int_distribution<std::size_t> choose(0,
                                                      this->nodes.size() - 2);
    const std::size_t chosen = choose(this->random_numbers);
    return chosen < except ? chosen : chosen + 1;
}

void model_world::arrive(const request& made, std::size_t node)
{
    if (!this->nodes[node].decisions)
    {
        this->refuse(node, made, {false, milliseconds(50)});
        return;
    }
    this->at_node(node, this->now,
                  [this, made, node]
                  {
                      model_node& state = this->nodes[node];
                      const model_workspace& known =
                          this->workspaces[made.workspace];
                      const claim_number number(this->next_claim++);
                      state.claims[number] = made;
                      state.decisions->claim(number, known.name, known.limit,
                                             known.version, this->now);
                      this->run_commands(node);
                  });
}

void model_world::refuse(std::size_t node, const request& made,
                         const allotment_refusal& refusal)
{
    model_workspace& known = this->workspaces[made.workspace];
    if (!refusal.over_limit && made.attempt < max_attempts)
    {
        const request next{made.workspace, made.attempt + 1, made.is_measured};
        this->at(this->now + refusal.retry_after, [this, next, node]
                 { this->arrive(next, this->other_node(node)); });
        return;
    }
    if (made.is_measured)
    {
        ++(refusal.over_limit ? known.over_limit : known.unknown);
    }
}

void model_world::run_commands(std::size_t node)
{
    model_node& state = this->nodes[node];
    for (const allotment_command& command : state.decisions->take_commands())
    {
        if (const auto* sent = std::get_if<send_command>(&command))
        {
            this->send(node, *sent);
            continue;
        }
        if (const auto* granted = std::get_if<grant_command>(&command))
        {
            const request made = state.claims.extract(granted->claim).mapped();
            // A few requests are cancelled before they are sent.
            const bool used = this->random_numbers() % 50 != 0;
            state.decisions->end(granted->claim, used, this->now);
            if (used)
            {
                this->workspaces[made.workspace].sent.push_back(this->now);
            }
            continue;
        }
        const auto& refused = std::get<refuse_command>(command);
        const request made = state.claims.extract(refused.claim).mapped();
        this->refuse(node, made, refused.refusal);
    }
}

double model_world::worst_window(std::size_t workspace) const
{
    const model_workspace& known = this->workspaces[workspace];
    const double window_s =
        std::chrono::duration<double>(this->settings.window).count();
    const double bound =
        (known.limit.rate.per_second() * window_s + known.limit.burst) *
            (1.0 + this->settings.overage) +
        this->settings.slack;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < known.sent.size(); ++last)
    {
        while (known.sent[last] - known.sent[first] >= this->settings.window)
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most) / bound;
}

} // namespace parsleytrack::test
