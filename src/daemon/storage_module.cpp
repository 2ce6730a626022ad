#include "daemon/storage_module.hpp"

#include "daemon/keeper_link.hpp"
#include "daemon/keeper_service.hpp"
#include "daemon/replicated_put.hpp"
#include "daemon/segment_fetch.hpp"
#include "daemon/segment_repair.hpp"
#include "decisions/keeper_choice.hpp"
#include "logging/log.hpp"
#include "units/wall_clock.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace parsleytrack
{

namespace
{

/// Records move when the order of the keepers changes, so a few more than
/// there are copies are asked.
constexpr std::size_t record_readers = 6;
constexpr duration repair_settle_time = std::chrono::seconds(10);
constexpr duration expiry_interval = std::chrono::hours(1);
/// Longest time from a segment's writing to the end of its job.
constexpr std::chrono::hours longest_job(24 * 7);

/// Collects the answers of several keepers to the same query.
struct record_merge
{
    std::size_t left = 0;
    std::map<std::string, storage::kept_record> newest;

    void add(const std::vector<storage::kept_record>& records)
    {
        for (const storage::kept_record& record : records)
        {
            storage::kept_record& known = this->newest[record.name];
            if (known.name.empty() || record.version > known.version)
            {
                known = record;
            }
        }
    }

    std::vector<storage::kept_record> take()
    {
        std::vector<storage::kept_record> records;
        for (auto& [name, record] : this->newest)
        {
            records.push_back(std::move(record));
        }
        return records;
    }
};

} // namespace

struct storage_module::state
{
    explicit state(node_context& node) : context(node) {}

    std::vector<node_info> keepers_of(const std::string& record_name,
                                      std::size_t count) const
    {
        std::vector<node_info> ranked =
            rank_keepers(this->context.fleet.nodes(),
                         record_name.substr(0, record_name.find('/')));
        if (ranked.size() > count)
        {
            ranked.resize(count);
        }
        return ranked;
    }

    void erase_expired() const
    {
        const auto kept_for = std::chrono::duration_cast<std::chrono::seconds>(
            this->context.settings.batch.result_retention + longest_job);
        const result<bool> erased =
            this->local->erase_older_than(wall_clock_s() - kept_for.count());
        if (erased.has_error())
        {
            log_event(log_level::error, "expiry_failed",
                      {{"message", erased.error().message}});
        }
    }

    node_context& context;
    std::unique_ptr<storage::segment_store> local;
    std::unique_ptr<keeper_service> service;
    std::unique_ptr<keeper_link> link;
    std::unique_ptr<segment_repair> repair;
    net::timer expiry_timer;
};

storage_module::storage_module(node_context& node)
    : contents(std::make_shared<state>(node))
{
}

storage_module::~storage_module() = default;

result<bool> storage_module::start()
{
    state& self = *this->contents;
    if (self.context.settings.is_keeper())
    {
        auto opened =
            storage::segment_store::open(self.context.settings.data_folder);
        if (opened.has_error())
        {
            return opened.error();
        }
        self.local = std::move(opened.value());
        self.service =
            std::make_unique<keeper_service>(self.context, *self.local);
    }
    self.link = std::make_unique<keeper_link>(self.context, self.local.get());
    if (self.local)
    {
        self.repair = std::make_unique<segment_repair>(
            self.context, *self.local, *self.link, repair_settle_time);
        self.expiry_timer = self.context.loop.call_every(
            expiry_interval, [&self] { self.erase_expired(); });
    }
    return true;
}

void storage_module::put_everywhere(std::string bytes, put_callback callback)
{
    state& self = *this->contents;
    std::make_shared<replicated_put>(self.context, *self.link, std::move(bytes),
                                     std::move(callback))
        ->start();
}

void storage_module::fetch(const segment_id& segment,
                           const std::vector<node_id>& holders,
                           fetch_callback callback)
{
    state& self = *this->contents;
    std::make_shared<segment_fetch>(self.context, *self.link, segment, holders,
                                    std::move(callback))
        ->start();
}

void storage_module::keep_record(const storage::kept_record& record,
                                 std::function<void(bool)> callback)
{
    state& self = *this->contents;
    const auto copies =
        static_cast<std::size_t>(self.context.settings.batch.copies);
    const auto keepers = self.keepers_of(record.name, copies);
    if (keepers.empty())
    {
        self.context.loop.post([callback = std::move(callback)]
                               { callback(false); });
        return;
    }
    struct progress
    {
        std::size_t left;
        bool kept = false;
    };
    const auto state_of_puts =
        std::make_shared<progress>(progress{keepers.size()});
    for (const node_info& keeper : keepers)
    {
        self.link->put_record(
            keeper, record,
            [state_of_puts, callback](const result<bool>& answer)
            {
                state_of_puts->kept = state_of_puts->kept || answer.has_value();
                if (--state_of_puts->left == 0)
                {
                    callback(state_of_puts->kept);
                }
            });
    }
}

void storage_module::read_records(const std::string& group,
                                  records_callback callback)
{
    state& self = *this->contents;
    const auto keepers = self.keepers_of(group, record_readers);
    const auto merge = std::make_shared<record_merge>();
    merge->left = keepers.size();
    if (keepers.empty())
    {
        self.context.loop.post([callback = std::move(callback)]
                               { callback({}); });
        return;
    }
    for (const node_info& keeper : keepers)
    {
        self.link->list_records(
            keeper, group,
            [merge,
             callback](const result<std::vector<storage::kept_record>>& answer)
            {
                if (answer.has_value())
                {
                    merge->add(answer.value());
                }
                if (--merge->left == 0)
                {
                    callback(merge->take());
                }
            });
    }
}

void storage_module::drain(std::function<void()> done)
{
    this->contents->context.loop.post(std::move(done));
}

} // namespace parsleytrack
