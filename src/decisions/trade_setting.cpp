#include "decisions/trade_setting.hpp"

#include <algorithm>
#include <cmath>

namespace parsleytrack
{

namespace
{

constexpr double balanced_weight = 0.5;
/// Slots kept from batch when the setting is 0.
constexpr double most_reserved_slots = 2.0;
/// How long online work waits when the setting is 1.
constexpr duration longest_patience = std::chrono::milliseconds(200);

} // namespace

trade_setting::trade_setting(double batch_weight) : weight(batch_weight) {}

int trade_setting::reserved_slots() const
{
    const double below = std::max(0.0, balanced_weight - this->weight);
    return static_cast<int>(
        std::lround(most_reserved_slots * below / balanced_weight));
}

bool trade_setting::keeps_prompts_apart() const
{
    return this->weight < balanced_weight;
}

duration trade_setting::patience() const
{
    const double above = std::max(0.0, this->weight - balanced_weight);
    return duration(static_cast<duration::rep>(
        static_cast<double>(longest_patience.count()) * above /
        (1.0 - balanced_weight)));
}

} // namespace parsleytrack
