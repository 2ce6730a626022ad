#include "allotments/allotment_numbers.hpp"

#include <algorithm>
#include <chrono>

namespace parsleytrack::allotments
{

namespace
{

constexpr double lease_part_of_overage = 0.6;
/// Twice the time in which an owner has to reply: a lease that ends on its way
/// is of no use.
constexpr duration min_lease_validity = std::chrono::milliseconds(160);
constexpr double floor_part_of_overage = 0.3;
constexpr double initial_part_of_slack = 0.2;
constexpr double capacity_part_of_slack = 0.2;
constexpr double floor_part_of_slack = 0.4;

} // namespace

allotment_numbers::allotment_numbers(
    const settings::allotment_settings& settings)
    : lease_validity(std::max(min_lease_validity,
                              duration(static_cast<duration::rep>(
                                  static_cast<double>(settings.window.count()) *
                                  settings.overage * lease_part_of_overage)))),
      initial_requests(settings.slack * initial_part_of_slack),
      extra_capacity(settings.slack * capacity_part_of_slack),
      floor_capacity(settings.slack * floor_part_of_slack),
      floor_overage(settings.overage * floor_part_of_overage),
      window(settings.window)
{
}

} // namespace parsleytrack::allotments
