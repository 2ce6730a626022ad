#pragma once

#include "daemon/node_context.hpp"
#include "decisions/membership.hpp"
#include "decisions/seed_entry.hpp"
#include "net/timer.hpp"
#include "units/time.hpp"

#include <memory>
#include <vector>

namespace parsleytrack
{

/// Reads the region's list of seeds from the platform's store when this node
/// starts or knows no other; a few chosen nodes keep the list up to date.
class seed_keeper
{
public:
    /// \param node Outlives this object.
    /// \param membership_view Gets the seeds; outlives this object.
    seed_keeper(node_context& node, membership& membership_view);

private:
    void schedule(duration delay);
    void run();
    void read();
    void take_in(const std::optional<key_value::versioned_value>& found);
    void write(const std::vector<seed_entry>& seeds, store_revision expected);
    duration next_delay();

    node_context& context;
    membership& members;
    net::timer timer;
    time_point started;
    duration retry_delay;
    // Callbacks of the store may come after this object is gone.
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
};

} // namespace parsleytrack
