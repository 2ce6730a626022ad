#pragma once

#include "daemon/node_context.hpp"
#include "decisions/replica_list.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleytrack
{

/// Reads the platform's list of backend servers and follows its changes.
class instance_watch
{
public:
    using callback = std::function<void(const replica_list&)>;

    /// \param node What the modules share.
    /// \param known The revision of the list that the node has; the list that
    /// is read counts as at least as new.
    /// \param on_change Gets the list when it is complete and after changes.
    instance_watch(node_context& node, store_revision known,
                   callback on_change);

private:
    void list_after(const std::string& after);
    void handle_page(const result<std::vector<key_value::listed_value>>& page);
    void follow();
    void take(const std::string& key,
              const std::optional<key_value::versioned_value>& value);
    void report_soon();

    node_context& context;
    callback change_callback;
    replica_list list;
    net::timer retry_timer;
    net::timer report_timer;
    std::unique_ptr<key_value::watch_handle> watch;
    /// Freed with this object, so that late answers find nobody.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace parsleytrack
