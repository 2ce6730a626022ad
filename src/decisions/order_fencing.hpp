#pragma once

#include "units/numbers.hpp"

namespace parsleytrack
{

/// The number of an order. It grows with the release first, so that an order
/// of an older release never follows one of a newer, and with the gate's epoch
/// second.
///
/// \param version The release that the order carries out.
/// \param epoch The gate's epoch at the engine; below 1,048,576.
fencing_number make_fencing_number(release_version version, epoch_number epoch);

/// \returns The release in a fencing number.
release_version release_of(fencing_number number);

/// \returns The gate's epoch in a fencing number.
epoch_number epoch_of(fencing_number number);

} // namespace parsleytrack
