#include "decisions/order_fencing.hpp"

#include "units/invariant.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

constexpr std::int64_t epochs_per_release = 1 << 20;

} // namespace

fencing_number make_fencing_number(release_version version, epoch_number epoch)
{
    check_invariant(epoch.count() >= 0, "epochs count from zero");
    const std::int64_t bounded =
        std::min(epoch.count(), epochs_per_release - 1);
    return fencing_number(version.count() * epochs_per_release + bounded);
}

release_version release_of(fencing_number number)
{
    return release_version(number.count() / epochs_per_release);
}

epoch_number epoch_of(fencing_number number)
{
    return epoch_number(number.count() % epochs_per_release);
}

} // namespace parsleytrack
