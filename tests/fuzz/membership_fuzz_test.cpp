#include "daemon/region_conversion.hpp"
#include "daemon/seed_conversion.hpp"
#include "decisions/membership.hpp"
#include "fuzz/mutation.hpp"
#include "peering/membership_conversion.hpp"

#include <CppUTest/TestHarness.h>

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

using namespace parsleytrack;

namespace
{

constexpr int rounds = 40'000;
constexpr long most_growth_kb = 64L * 1024;

long peak_memory_kb()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

node_info make_node(int number)
{
    node_info node;
    node.id = node_id("entry-" + std::to_string(number));
    node.peer =
        endpoint{"10.20.30.40", static_cast<std::uint16_t>(1000 + number)};
    node.http = endpoint{"10.20.30.40", 443};
    node.region = region_name("qc-east");
    node.availability_zone = availability_zone_name("qc-east-a");
    node.incarnation = incarnation_number(1'700'000'000'000'000 + number);
    return node;
}

membership_packet make_packet(random_source& random)
{
    membership_packet packet;
    packet.kind = static_cast<membership_packet_kind>(random() % 4);
    packet.sequence = static_cast<std::int64_t>(random() % 1000);
    packet.region = region_name("qc-east");
    packet.sender = node_id("entry-1");
    packet.subject = node_id("entry-0");
    packet.subject_address = endpoint{"10.20.30.40", 1000};
    for (std::uint64_t count = random() % 5; count > 0; --count)
    {
        packet.members.push_back(
            member_record{make_node(static_cast<int>(random() % 50)), false});
        packet.items.push_back(board_item{"gate", node_id("entry-1"),
                                          random() % 100,
                                          random_bytes(random, 150)});
    }
    return packet;
}

} // namespace

TEST_GROUP(membership_fuzz)
{
    random_source random{20260101};
    long memory_before = peak_memory_kb();

    void teardown() override
    {
        CHECK(peak_memory_kb() - this->memory_before < most_growth_kb);
    }
};

TEST(membership_fuzz, packets_come_back_and_stay_within_their_bound)
{
    for (int round = 0; round < 2000; ++round)
    {
        const membership_packet packet = make_packet(this->random);
        const std::string bytes = encode_packet(packet);
        CHECK(bytes.size() <= encoded_size_bound(packet));
        const auto decoded = decode_packet(bytes);
        CHECK(decoded.has_value());
        CHECK(decoded.value().members == packet.members);
        CHECK(decoded.value().items == packet.items);
        CHECK(decoded.value().subject_address == packet.subject_address);
    }
}

TEST(membership_fuzz, damaged_packets_do_no_harm)
{
    gossip_board board(node_id("entry-0"), 1);
    membership members(make_node(0), membership_options(), this->random, board);
    time_point now;
    for (int round = 0; round < rounds; ++round)
    {
        const std::string bytes =
            damaged(encode_packet(make_packet(this->random)), this->random);
        const auto packet = decode_packet(bytes);
        now += std::chrono::milliseconds(20);
        if (packet.has_value())
        {
            members.receive(now, endpoint{"10.20.30.40", 1001}, packet.value());
        }
        members.tick(now);
        members.take_commands();
    }
    const auto nodes = members.nodes();
    CHECK(std::any_of(nodes.begin(), nodes.end(),
                      [](const node_info& node)
                      { return node.id == node_id("entry-0"); }));
}

TEST(membership_fuzz, random_bytes_are_refused_or_harmless)
{
    for (int round = 0; round < rounds; ++round)
    {
        const std::string bytes = random_bytes(this->random, 1400);
        (void)decode_packet(bytes);
        (void)decode_view(bytes);
        (void)decode_regions(bytes);
        (void)decode_seeds(bytes);
    }
}

TEST(membership_fuzz, a_list_that_claims_millions_of_records_takes_no_memory)
{
    // Field 3 (members) as a list of structs with 4,000,000 entries.
    const std::string view("\x39\xfc\x80\x92\xf4\x01", 6);
    // Field 8 (members) of a datagram, and field 1 of a list of regions.
    const std::string datagram("\x89\xfc\x80\x92\xf4\x01", 6);
    const std::string regions("\x19\xfc\x80\x92\xf4\x01", 6);
    CHECK(decode_view(view).has_error());
    CHECK(decode_packet(datagram).has_error());
    CHECK(decode_regions(regions).has_error());
}

TEST(membership_fuzz, numbers_that_leave_no_room_above_them_are_refused)
{
    membership_packet packet;
    packet.sender = node_id("entry-1");
    node_info node = make_node(2);
    node.incarnation = incarnation_number(INT64_MAX);
    packet.members.push_back(member_record{node, false});
    packet.items.push_back(
        board_item{"gate", node_id("entry-1"), INT64_MAX, "1"});
    const auto decoded = decode_packet(encode_packet(packet));
    CHECK(decoded.has_value());
    CHECK(decoded.value().members.empty());
    CHECK(decoded.value().items.empty());
}
