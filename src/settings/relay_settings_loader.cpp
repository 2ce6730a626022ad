#include "settings/relay_settings_loader.hpp"

#include "settings/document_loader.hpp"
#include "settings/log_level_reader.hpp"
#include "units/endpoint_parser.hpp"

namespace parsleytrack::settings
{

namespace
{

using detail::object_reader;

constexpr double min_cores = 0.01;
constexpr double max_cores = 1024.0;
constexpr double millicores_per_core = 1000.0;
constexpr duration max_window = std::chrono::seconds(60);
/// Leases are valid for a part of the window that is proportional to this; with
/// less they would end before they can be used.
constexpr double min_overage = 0.02;
constexpr double max_overage = 1.0;
/// A bucket starts with a fifth of the slack.
constexpr double min_slack = 5.0;
constexpr double max_slack = 10'000.0;
constexpr double default_memory_mb = 256.0;
constexpr double min_memory_mb = 16.0;
constexpr double max_memory_mb = 1024.0 * 1024.0;
constexpr double bytes_per_megabyte = 1024.0 * 1024.0;

std::optional<endpoint> read_optional_address(object_reader& reader,
                                              const char* field)
{
    const std::string text = reader.optional_text(field);
    if (text.empty())
    {
        return std::nullopt;
    }
    endpoint address;
    if (!parse_endpoint(text, address))
    {
        reader.report(field, "must be \"IP:PORT\"");
        return std::nullopt;
    }
    return address;
}

endpoint read_address(object_reader& reader, const char* field)
{
    const std::string text = reader.required_text(field);
    endpoint address;
    if (!text.empty() && !parse_endpoint(text, address))
    {
        reader.report(field, "must be \"IP:PORT\"");
    }
    return address;
}

void read_node(object_reader& reader, relay_settings& settings)
{
    settings.id = node_id(reader.required_text("id"));
    settings.region = region_name(reader.required_text("region"));
    settings.availability_zone =
        availability_zone_name(reader.required_text("availability_zone"));
    settings.capacity_millicores =
        static_cast<int>(reader.number("cores", 1.0, min_cores, max_cores) *
                         millicores_per_core);
    settings.memory = byte_count(
        static_cast<std::int64_t>(reader.number("memory_mb", default_memory_mb,
                                                min_memory_mb, max_memory_mb) *
                                  bytes_per_megabyte));
}

void read_listen(object_reader& reader, relay_settings& settings)
{
    settings.front = read_optional_address(reader, "front");
    settings.ready = read_optional_address(reader, "ready");
    settings.directory = read_optional_address(reader, "directory");
    settings.metrics = read_optional_address(reader, "metrics");
    settings.peer = read_address(reader, "peer");
    if (settings.front && !settings.ready)
    {
        reader.report("ready", "is required on a node that serves callers");
    }
}

void read_allotments(object_reader& reader, allotment_settings& settings)
{
    settings.window = reader.seconds("window_s", settings.window,
                                     std::chrono::seconds(1), max_window);
    settings.overage =
        reader.number("overage", settings.overage, min_overage, max_overage);
    settings.slack =
        reader.number("slack", settings.slack, min_slack, max_slack);
}

relay_settings read_relay_settings(object_reader& reader)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    relay_settings settings;
    reader.object("node", [&settings](object_reader& section)
                  { read_node(section, settings); });
    reader.object("listen", [&settings](object_reader& section)
                  { read_listen(section, settings); });
    settings.seeds = reader.endpoints("seeds");
    // The platform lists the seeds with another port; all nodes use the same
    // peer port.
    for (endpoint& seed : settings.seeds)
    {
        seed.port = settings.peer.port;
    }
    reader.object(
        "store",
        [&settings](object_reader& section)
        {
            settings.store = read_address(section, "address");
            settings.max_direct_followers = static_cast<int>(section.number(
                "most_nodes_alone", settings.max_direct_followers, 1, 10'000));
        });
    reader.object("addresses",
                  [&settings](object_reader& section)
                  {
                      settings.address_validity = section.seconds(
                          "validity_s", settings.address_validity,
                          milliseconds(100), seconds(300));
                  });
    reader.object("jobs",
                  [&settings](object_reader& section)
                  {
                      settings.result_retention = section.seconds(
                          "keep_results_s", settings.result_retention,
                          seconds(1), std::chrono::hours(24 * 365));
                  });
    reader.object("keys",
                  [&settings](object_reader& section)
                  {
                      const duration limit = section.seconds(
                          "confirmed_within_s", seconds(5), milliseconds(100),
                          std::chrono::hours(24));
                      if (section.flag("strict", false))
                      {
                          settings.key_confirmation = limit;
                      }
                  });
    reader.object("stop",
                  [&settings](object_reader& section)
                  {
                      settings.stop_timeout =
                          section.seconds("limit_s", settings.stop_timeout,
                                          seconds(1), seconds(600));
                  });
    reader.object("allotments", [&settings](object_reader& section)
                  { read_allotments(section, settings.allotments); });
    detail::read_log_level(reader, settings.level);
    return settings;
}

} // namespace

relay_load_outcome parse_relay_settings(std::string_view text,
                                        const std::string& name)
{
    return detail::parse_settings_document(text, name, read_relay_settings);
}

relay_load_outcome load_relay_settings(const std::string& path)
{
    return detail::load_settings_document(path, read_relay_settings);
}

} // namespace parsleytrack::settings
