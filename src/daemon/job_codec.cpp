#include "daemon/job_codec.hpp"

#include "decisions/lot_assignment.hpp"
#include "wire/codec.hpp"
#include "wire/generated/job_types.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace parsleytrack
{

namespace
{

constexpr int bits_per_byte = 8;

std::string pack_bits(const std::vector<bool>& bits)
{
    std::string bytes((bits.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::size_t place = 0; place < bits.size(); ++place)
    {
        if (bits[place])
        {
            char& byte = bytes[place / bits_per_byte];
            byte = static_cast<char>(static_cast<unsigned char>(byte) |
                                     (1U << (place % bits_per_byte)));
        }
    }
    return bytes;
}

std::vector<bool> unpack_bits(const std::string& bytes, std::size_t count)
{
    std::vector<bool> bits(count, false);
    for (std::size_t place = 0;
         place < count && place / bits_per_byte < bytes.size(); ++place)
    {
        const auto byte =
            static_cast<unsigned char>(bytes[place / bits_per_byte]);
        bits[place] = (byte & (1U << (place % bits_per_byte))) != 0;
    }
    return bits;
}

wire::placement to_wire(const placement& where)
{
    wire::placement message;
    message.segment = where.segment.str();
    for (const node_id& holder : where.holders)
    {
        message.holders.push_back(holder.str());
    }
    return message;
}

placement from_wire(const wire::placement& message)
{
    placement where;
    where.segment = segment_id(message.segment);
    for (const std::string& holder : message.holders)
    {
        where.holders.emplace_back(holder);
    }
    return where;
}

} // namespace

std::string encode_job_record(const job_record& record)
{
    wire::job_record message;
    message.workspace = record.workspace.str();
    message.fingerprint = record.fingerprint;
    message.deadline_ms = record.deadline_ms;
    message.created_ms = record.created_ms;
    message.items = record.items;
    message.cancelled = record.cancelled;
    message.ended = record.ended;
    message.region = record.region.str();
    for (const lot_input& lot : record.lots)
    {
        wire::lot_input input;
        input.input = to_wire(lot.input);
        input.items = lot.items;
        message.lots.push_back(std::move(input));
    }
    return wire::encode(message);
}

result<job_record> decode_job_record(std::string_view bytes)
{
    const auto message = wire::decode<wire::job_record>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::job_record& read = message.value();
    job_record record;
    record.workspace = workspace_name(read.workspace);
    record.fingerprint = read.fingerprint;
    record.deadline_ms = read.deadline_ms;
    record.created_ms = read.created_ms;
    record.items = read.items;
    record.cancelled = read.cancelled;
    record.ended = read.ended;
    record.region = region_name(read.region);
    for (const wire::lot_input& lot : read.lots)
    {
        record.lots.push_back(lot_input{from_wire(lot.input), lot.items});
    }
    return record;
}

std::string encode_lot_record(const lot_record& record)
{
    wire::lot_record message;
    message.owner = record.owner.str();
    message.epoch = record.epoch.count();
    message.claim = static_cast<std::int64_t>(record.claim);
    message.commit_number = record.commit_number;
    message.items = static_cast<std::int32_t>(record.ended.size());
    message.ended = pack_bits(record.ended);
    message.intended = pack_bits(record.intended);
    for (const placement& segment : record.results)
    {
        message.results.push_back(to_wire(segment));
    }
    return wire::encode(message);
}

result<lot_record> decode_lot_record(std::string_view bytes)
{
    const auto message = wire::decode<wire::lot_record>(bytes);
    if (message.has_error())
    {
        return message.error();
    }
    const wire::lot_record& read = message.value();
    if (read.items < 0 || static_cast<std::size_t>(read.items) >
                              read.ended.size() * bits_per_byte)
    {
        return error{error_code::corrupt_data,
                     "a lot's record is damaged",
                     ran_state::no,
                     {}};
    }
    const auto items = static_cast<std::size_t>(read.items);
    lot_record record;
    record.owner = node_id(read.owner);
    record.epoch = epoch_number(read.epoch);
    record.claim = static_cast<std::uint64_t>(read.claim);
    record.commit_number = read.commit_number;
    record.ended = unpack_bits(read.ended, items);
    record.intended = unpack_bits(read.intended, items);
    for (const wire::placement& segment : read.results)
    {
        record.results.push_back(from_wire(segment));
    }
    return record;
}

std::string job_key(const job_id& job)
{
    return "parsleytrack/jobs/" + job.str();
}

std::string lot_prefix(const job_id& job)
{
    return "parsleytrack/lots/" + job.str() + "/";
}

std::string lot_key(const job_id& job, int lot)
{
    std::array<char, 16> number{};
    std::snprintf(number.data(), number.size(), "%06d", lot);
    return lot_prefix(job) + number.data();
}

int lot_of_key(const std::string& key)
{
    const std::string digits = key.substr(key.rfind('/') + 1);
    int lot = -1;
    const auto read =
        std::from_chars(digits.data(), digits.data() + digits.size(), lot);
    return read.ec == std::errc() ? lot : -1;
}

std::string open_job_prefix(const region_name& region, int shard)
{
    return "parsleytrack/open_jobs/" + region.str() + "/" +
           std::to_string(shard) + "/";
}

std::string open_job_key(const region_name& region, const job_id& job)
{
    return open_job_prefix(region, job_shard(job)) + job.str();
}

} // namespace parsleytrack
