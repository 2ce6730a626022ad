#pragma once

#include "daemon/node_context.hpp"
#include "decisions/release_ledger.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace parsleytrack
{

/// One release note on its way into the store. It lives as long as one of its
/// calls to the store does.
class release_submission
    : public std::enable_shared_from_this<release_submission>
{
public:
    using callback = std::function<void(result<release_ledger::outcome>)>;

    release_submission(node_context& node, release_note note,
                       release_version expected, callback on_end);

    void start();

private:
    void read_current();
    void
    read_archived(const std::optional<key_value::versioned_value>& current);
    void decide(const std::optional<accepted_note>& archived);
    void archive(const release_ledger::acceptance& accepted);
    void write_archived(const release_ledger::acceptance& accepted,
                        key_value::store_lease lease);
    void write(const release_ledger::acceptance& accepted);
    void handle_write(const release_ledger::acceptance& accepted,
                      const result<key_value::swap_outcome>& end);
    void fail(error reason);

    node_context& context;
    release_note note;
    release_version expected;
    callback end_callback;
    std::set<service_name> services;
    release_record current;
    store_revision revision;
    int rounds = 0;
};

} // namespace parsleytrack
