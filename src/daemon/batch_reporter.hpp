#pragma once

#include "daemon/node_context.hpp"
#include "wire/generated/batch_types.h"

#include <map>
#include <memory>
#include <vector>

namespace parsleytrack
{

/// Sends reports on batch items to the owners of their lots, several at once.
/// A report is sent again until the owner takes it or is known to be gone; the
/// owner ignores what it has had before.
class batch_reporter
{
public:
    explicit batch_reporter(node_context& node);

    /// Adds a report.
    ///
    /// \param owner The node that the item was pulled from.
    void add(const node_id& owner, wire::item_report report);

    /// \returns Whether every report was delivered.
    bool empty() const { return this->owners.empty(); }

private:
    struct pending_reports
    {
        std::vector<wire::item_report> waiting;
        std::vector<wire::item_report> on_the_way;
        std::unique_ptr<wire::peer_call> call;
        net::timer timer;
        int failures = 0;
    };

    void send(const node_id& owner);
    void handle_answer(const node_id& owner, bool delivered);

    node_context& context;
    std::map<node_id, pending_reports> owners;
};

} // namespace parsleytrack
