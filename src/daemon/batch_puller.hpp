#pragma once

#include "daemon/batch_item_run.hpp"
#include "daemon/batch_reporter.hpp"
#include "daemon/node_context.hpp"

#include <functional>
#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace parsleytrack
{

/// Gets batch items for this node's gates from the owners of lots, and takes
/// them back where the owners want it.
class batch_puller
{
public:
    /// Gives an item to the replica's gate; see replica_runner::submit().
    using submitter =
        std::function<std::unique_ptr<net::http_call>(replica_job)>;
    /// Gets the number of items and, where there was none, when to ask again.
    using pull_end = std::function<void(int received, duration retry_after)>;

    explicit batch_puller(node_context& node);

    /// \returns Whether any owner has items for a service.
    bool has_offers(const service_name& service) const;

    /// Pulls items for a replica.
    ///
    /// \param replica The replica, and its service's settings.
    /// \param count How many items are wanted.
    /// \param submit Gets each item that is to run.
    /// \param done Called after the last.
    void pull(const replica_id& replica,
              const settings::service_settings& service, int count,
              submitter submit, pull_end done);

    /// \returns Whether no item and no report is left.
    bool idle() const { return this->runs.empty() && this->reports.empty(); }

    /// \param callback Called when owners' offers may have changed.
    void on_offers(std::function<void()> callback);

private:
    using item_key = std::tuple<std::string, int, int>;
    using offer_list = std::vector<wire::batch_offer>;

    void handle_offers(const node_id& owner, const std::string& value);
    void handle_cancel(const std::shared_ptr<wire::peer_exchange>& exchange);
    const node_info* choose_owner(const service_name& service);
    std::vector<std::string> models_of(const service_name& service) const;
    void begin_items(const node_id& owner, const replica_id& replica,
                     const settings::service_settings& service,
                     const wire::pull_reply& reply, const submitter& submit);
    void begin_item(const node_id& owner, const replica_id& replica,
                    const settings::service_settings& service,
                    const wire::batch_item& item, const submitter& submit);
    void finish_item(const node_id& owner, const item_key& key,
                     wire::item_report report);

    node_context& context;
    batch_reporter reports;
    std::map<node_id, offer_list> offers;
    std::map<item_key, std::shared_ptr<batch_item_run>> runs;
    std::map<replica_id, std::unique_ptr<wire::peer_call>> pulls;
    std::function<void()> offers_callback;
};

} // namespace parsleytrack
