#include "relay/storage_record.hpp"

#include "units/endpoint_parser.hpp"
#include "wire/codec.hpp"
#include "wire/generated/stream_origins_types.h"

namespace parsleytrack::relay
{

std::string encode(const storage_record& record)
{
    wire::storage_node_record message;
    message.address = to_string(record.address);
    for (const auto& [service, versions] : record.versions)
    {
        for (const software_version& version : versions)
        {
            wire::service_version& entry = message.versions.emplace_back();
            entry.service_name = service.str();
            entry.version = version.str();
        }
    }
    return wire::encode(message);
}

result<storage_record> decode_storage_record(std::string_view bytes)
{
    const auto message = wire::decode<wire::storage_node_record>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    storage_record record;
    if (!parse_endpoint(message.value().address, record.address))
    {
        return error{error_code::corrupt_data,
                     "the address is not of the form IP:PORT",
                     ran_state::no,
                     {}};
    }
    for (const wire::service_version& entry : message.value().versions)
    {
        record.versions[service_name(entry.service_name)].insert(
            software_version(entry.version));
    }
    return record;
}

} // namespace parsleytrack::relay
