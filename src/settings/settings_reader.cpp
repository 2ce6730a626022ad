#include "settings/settings_reader.hpp"

#include "settings/log_level_reader.hpp"
#include "units/endpoint_parser.hpp"

#include <algorithm>
#include <set>

namespace parsleytrack::settings::detail
{

namespace
{

constexpr int max_port = 65'535;
constexpr std::int64_t max_body_bytes = 16'777'216;
constexpr int max_batch_items = 1'000'000;
constexpr int max_lot_items = 20'000;
constexpr int max_store_calls_per_s = 2000;
constexpr int max_weight_loads = 1000;
constexpr int max_attempts = 20;
constexpr int max_queued_per_slot = 1000;

endpoint read_listen_address(object_reader& reader, const std::string& host,
                             const char* field)
{
    const auto port = reader.integer(field, -1, 0, max_port);
    if (port < 0)
    {
        reader.report(field,
                      "is missing; a port is required, or 0 for any free one");
    }
    return endpoint{
        host, static_cast<std::uint16_t>(std::max<std::int64_t>(port, 0))};
}

void read_identity(object_reader& reader, node_settings& settings)
{
    settings.id = node_id(reader.required_text("id"));
    settings.region = region_name(reader.required_text("region"));
    settings.availability_zone =
        availability_zone_name(reader.required_text("availability_zone"));
    settings.data_folder = reader.optional_text("data_folder");
    settings.entry = reader.flag("entry", settings.entry);
}

void read_listen(object_reader& reader, node_settings& settings)
{
    const std::string host = reader.required_text("host");
    endpoint ignored;
    if (!host.empty() && !parse_endpoint(host + ":1", ignored))
    {
        reader.report("host", "must be an IPv4 address of this node");
    }
    settings.http = read_listen_address(reader, host, "http_port");
    settings.peer = read_listen_address(reader, host, "peer_port");
    if (settings.http.port != 0 && settings.http.port == settings.peer.port)
    {
        reader.report("peer_port", "must differ from http_port");
    }
}

void read_store(object_reader& reader, node_settings& settings)
{
    settings.store = reader.endpoints("addresses");
    if (settings.store.empty())
    {
        reader.report("addresses", "must list at least one \"IP:PORT\"");
    }
    settings.store_calls_per_s = static_cast<int>(reader.integer(
        "calls_per_s", settings.store_calls_per_s, 1, max_store_calls_per_s));
}

void read_limits(object_reader& reader, limit_settings& limits)
{
    limits.online_body = byte_count(reader.integer(
        "online_body_bytes", limits.online_body.count(), 1, max_body_bytes));
    limits.batch_item = byte_count(reader.integer(
        "batch_item_bytes", limits.batch_item.count(), 1, max_body_bytes));
    limits.batch_items = static_cast<int>(
        reader.integer("batch_items", limits.batch_items, 1, max_batch_items));
    limits.queued_per_slot = static_cast<int>(reader.integer(
        "queued_per_slot", limits.queued_per_slot, 0, max_queued_per_slot));
    limits.retry_budget =
        reader.number("retry_budget", limits.retry_budget, 0.0, 1.0);
    limits.online_attempts = static_cast<int>(reader.integer(
        "online_attempts", limits.online_attempts, 1, max_attempts));
    limits.batch_attempts = static_cast<int>(reader.integer(
        "batch_attempts", limits.batch_attempts, 1, max_attempts));
    limits.weight_loads = static_cast<int>(reader.integer(
        "weight_loads", limits.weight_loads, 1, max_weight_loads));
}

void read_batch(object_reader& reader, batch_settings& batch)
{
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    constexpr int min_copies = 2;
    constexpr int max_copies = 5;
    batch.lot_items = static_cast<int>(
        reader.integer("lot_items", batch.lot_items, 1, max_lot_items));
    batch.copies = static_cast<int>(
        reader.integer("copies", batch.copies, min_copies, max_copies));
    batch.lease =
        reader.seconds("lease_s", batch.lease, seconds(1), seconds(300));
    batch.commit_interval =
        reader.seconds("commit_interval_s", batch.commit_interval,
                       milliseconds(10), seconds(60));
    if (batch.commit_interval >= batch.lease)
    {
        reader.report("commit_interval_s", "must be shorter than lease_s");
    }
    batch.result_retention = reader.seconds(
        "keep_results_s", batch.result_retention, seconds(60), hours(24 * 365));
}

void check_services(object_reader& reader, const node_settings& settings)
{
    std::set<std::string> names;
    std::set<std::string> replicas;
    for (std::size_t index = 0; index < settings.services.size(); ++index)
    {
        const service_settings& service = settings.services[index];
        const std::string location = "services/" + std::to_string(index);
        if (!names.insert(service.name.str()).second)
        {
            reader.report(location + "/name", "occurs twice");
        }
        for (const replica_settings& replica : service.replicas)
        {
            if (!replicas.insert(replica.id.str()).second)
            {
                reader.report(location + "/replicas", "replica \"" +
                                                          replica.id.str() +
                                                          "\" occurs twice");
            }
        }
    }
    if (settings.services.empty())
    {
        reader.report("services", "must list at least one service");
    }
}

} // namespace

node_settings read_node_settings(object_reader& reader)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    node_settings settings;
    reader.object("node", [&settings](object_reader& section)
                  { read_identity(section, settings); });
    reader.object("listen", [&settings](object_reader& section)
                  { read_listen(section, settings); });
    settings.seeds = reader.endpoints("seeds");
    reader.object("store", [&settings](object_reader& section)
                  { read_store(section, settings); });
    reader.each("services",
                [&settings](object_reader& section) {
                    settings.services.push_back(read_service_settings(section));
                });
    check_services(reader, settings);
    reader.object("limits", [&settings](object_reader& section)
                  { read_limits(section, settings.limits); });
    reader.object("batch", [&settings](object_reader& section)
                  { read_batch(section, settings.batch); });
    reader.object("scheduling",
                  [&settings](object_reader& section)
                  {
                      settings.batch_weight = section.number(
                          "batch_weight", settings.batch_weight, 0.0, 1.0);
                  });
    reader.object("addresses",
                  [&settings](object_reader& section)
                  {
                      settings.address_validity = section.seconds(
                          "validity_s", settings.address_validity,
                          milliseconds(100), seconds(300));
                      settings.leave_margin = section.seconds(
                          "leave_margin_s", settings.leave_margin,
                          milliseconds(0), seconds(300));
                  });
    read_log_level(reader, settings.level);
    return settings;
}

} // namespace parsleytrack::settings::detail
