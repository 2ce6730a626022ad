#pragma once

#include "daemon/call_set.hpp"
#include "daemon/job_store.hpp"
#include "daemon/lot_runner.hpp"
#include "decisions/restart_detector.hpp"
#include "net/timer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace parsleytrack
{

/// The lots that this node owns or is to own. Gates pull items from here.
class lot_pool
{
public:
    using lot_name = std::pair<job_id, int>;
    /// Told of a lot that has ended here, and whether all its items have.
    using over_callback = std::function<void(const lot_name&, bool complete)>;

    /// \param node What the modules share.
    /// \param segments Keeps items and results.
    /// \param jobs Keeps the records.
    /// \param is_usable Says of a node that it may still own lots.
    /// \param on_over Told of lots that are over.
    lot_pool(node_context& node, storage_module& segments, job_store& jobs,
             std::function<bool(const node_id&)> is_usable,
             over_callback on_over);

    /// Takes a lot, if it is not here yet and once there is room for it.
    void want(const lot_name& lot, std::int64_t deadline_ms);

    /// A job was cancelled: ends its items here.
    void cancel(const job_id& job);

    /// Hands all lots over.
    ///
    /// \param done Called when that is done, or took too long.
    void release_all(std::function<void()> done);

private:
    struct wanted_lot
    {
        std::int64_t deadline_ms = 0;
        time_point not_before;
        bool opening = false;
    };

    void tick();
    void open_next();
    void open(const lot_name& lot);
    void load(const lot_name& lot, const job_record& record);
    void postpone(const lot_name& lot, const error& reason);
    void remove_ended();
    void drop_dead_gates(time_point now);
    void publish_offers();
    void answer_pull(const std::shared_ptr<wire::peer_exchange>& exchange);
    void answer_report(const std::shared_ptr<wire::peer_exchange>& exchange);

    node_context& context;
    storage_module& storage;
    job_store& records;
    std::function<bool(const node_id&)> usable;
    over_callback over;
    call_set gates;
    restart_detector restarts;
    std::map<lot_name, wanted_lot> wanted;
    std::map<lot_name, std::shared_ptr<lot_runner>> runners;
    std::string published;
    std::function<void()> released;
    time_point release_limit;
    int ticks = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    net::timer timer;
};

} // namespace parsleytrack
