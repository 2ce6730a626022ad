#pragma once

#include "daemon/node_context.hpp"
#include "decisions/once_ledger.hpp"
#include "net/timer.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace parsleytrack
{

/// The pages on which this node works at the moment, each with its ledger.
class once_shards
{
public:
    using callback = std::function<void(once_outcome)>;

    explicit once_shards(node_context& node);

    /// \param key Checksum of workspace and idempotency key.
    /// \returns The page that holds the key.
    static int shard_of(const std::string& key);

    /// Has an operation agreed.
    ///
    /// \param operation Its times are set here.
    /// \param done Gets the outcome, within a bounded time.
    void submit(once_operation operation, callback done);

    /// \returns Whether nothing is under way.
    bool idle() const { return this->pages.empty(); }

private:
    struct open_page
    {
        explicit open_page(std::function<bool(const node_id&)> is_dead)
            : ledger(std::move(is_dead))
        {
        }

        once_ledger ledger;
        std::map<once_ledger::operation_number, callback> waiting;
        time_point last_used;
    };

    void tick();
    void step(int shard);
    void carry_out(int shard, const once_ledger::action& action);
    void read(int shard);
    void write(int shard, const seen_once_page& wanted);
    void deliver(int shard);

    node_context& context;
    std::map<int, std::shared_ptr<open_page>> pages;
    net::timer timer;
};

} // namespace parsleytrack
