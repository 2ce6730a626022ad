#include "settings/relay_settings_loader.hpp"

#include "settings/document_loader.hpp"
#include "settings/log_level_reader.hpp"
#include "units/endpoint_parser.hpp"

namespace parsleytrack::settings
{

namespace
{

using detail::object_reader;

constexpr double least_cores = 0.01;
constexpr double most_cores = 1024.0;
constexpr double thousandths_per_core = 1000.0;

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
    settings.capacity =
        static_cast<int>(reader.number("cores", 1.0, least_cores, most_cores) *
                         thousandths_per_core);
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
        reader.report("ready", "is needed by a node that takes callers");
    }
}

relay_settings read_relay_settings(object_reader& reader)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    relay_settings settings;
    reader.object("node", [&settings](object_reader& part)
                  { read_node(part, settings); });
    reader.object("listen", [&settings](object_reader& part)
                  { read_listen(part, settings); });
    settings.seeds = reader.endpoints("seeds");
    // The platform names the seeds by another port; all nodes use the same
    // port for one another.
    for (endpoint& seed : settings.seeds)
    {
        seed.port = settings.peer.port;
    }
    reader.object(
        "store",
        [&settings](object_reader& part)
        {
            settings.store = read_address(part, "address");
            settings.max_direct_followers = static_cast<int>(part.number(
                "most_nodes_alone", settings.max_direct_followers, 1, 10'000));
        });
    reader.object("addresses",
                  [&settings](object_reader& part)
                  {
                      settings.address_validity =
                          part.seconds("validity_s", settings.address_validity,
                                       milliseconds(100), seconds(300));
                  });
    reader.object("jobs",
                  [&settings](object_reader& part)
                  {
                      settings.keep_results = part.seconds(
                          "keep_results_s", settings.keep_results, seconds(1),
                          std::chrono::hours(24 * 365));
                  });
    reader.object("stop",
                  [&settings](object_reader& part)
                  {
                      settings.stop_limit =
                          part.seconds("limit_s", settings.stop_limit,
                                       seconds(1), seconds(600));
                  });
    detail::read_log_level(reader, settings.level);
    return settings;
}

} // namespace

relay_load_outcome parse_relay_settings(std::string_view text,
                                        const std::string& name)
{
    return detail::parse_as(text, name, read_relay_settings);
}

relay_load_outcome load_relay_settings(const std::string& path)
{
    return detail::load_as(path, read_relay_settings);
}

} // namespace parsleytrack::settings
