#include "daemon/instance_watch.hpp"

#include "daemon/instance_record.hpp"
#include "logging/log.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr std::size_t page_keys = 500;
constexpr duration shortest_retry = std::chrono::seconds(1);
constexpr duration longest_retry = std::chrono::seconds(3);
// Changes that come together are reported together.
constexpr duration report_delay = std::chrono::milliseconds(50);

} // namespace

instance_watch::instance_watch(node_context& node, store_revision known,
                               callback on_change)
    : context(node), change_callback(std::move(on_change))
{
    this->list.revision = known;
    this->list_after(std::string());
}

void instance_watch::list_after(const std::string& after)
{
    this->context.store.list(
        std::string(instance_prefix), after, page_keys,
        [this, observed = std::weak_ptr<bool>(this->alive)](
            const result<std::vector<key_value::listed_value>>& page)
        {
            if (observed.lock())
            {
                this->handle_page(page);
            }
        });
}

void instance_watch::handle_page(
    const result<std::vector<key_value::listed_value>>& page)
{
    if (page.has_error())
    {
        this->context.metrics.count("parsleytrack_store_retries_total",
                                    {{"reason", "instance_list"}});
        std::uniform_int_distribution<duration::rep> wait(
            shortest_retry.count(), longest_retry.count());
        this->retry_timer =
            this->context.loop.call_after(duration(wait(this->context.random)),
                                          [this]
                                          {
                                              this->list.replicas.clear();
                                              this->list_after(std::string());
                                          });
        return;
    }
    for (const auto& [key, value] : page.value())
    {
        this->take(key, value);
    }
    if (page.value().size() == page_keys)
    {
        this->list_after(page.value().back().first);
        return;
    }
    this->change_callback(this->list);
    this->follow();
}

void instance_watch::follow()
{
    this->watch = this->context.store.watch(
        std::string(instance_prefix),
        [this](const std::string& key,
               const std::optional<key_value::versioned_value>& value)
        {
            this->take(key, value);
            this->report_soon();
        });
}

void instance_watch::take(
    const std::string& key,
    const std::optional<key_value::versioned_value>& value)
{
    if (!value)
    {
        const std::size_t slash = key.rfind('/');
        this->list.replicas.erase(replica_id(key.substr(slash + 1)));
        return;
    }
    this->list.revision = std::max(this->list.revision, value->revision);
    const auto replica = parse_instance(key, value->value);
    if (!replica)
    {
        this->context.metrics.count("parsleytrack_refusals_total",
                                    {{"reason", "bad_instance_record"}});
        log_event(log_level::warning, "bad_instance_record", {{"key", key}});
        return;
    }
    this->list.replicas[replica->id] = *replica;
}

void instance_watch::report_soon()
{
    if (this->report_timer.is_set())
    {
        return;
    }
    this->report_timer =
        this->context.loop.call_after(report_delay,
                                      [this]
                                      {
                                          this->report_timer.cancel();
                                          this->change_callback(this->list);
                                      });
}

} // namespace parsleytrack
