#include "slots/slot_broker.hpp"
#include "units/random_source.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::slots;

namespace
{

/// Order-dependent digest of a broker's decisions (FNV-1a).
class decision_digest
{
public:
    void add(const slot_command& command)
    {
        this->add(command.ticket.count());
        this->add(static_cast<std::int64_t>(command.decision));
        this->add(command.replica.str());
        this->add(command.retry_after.count());
        this->add(command.free_slots);
        this->add(command.waiting);
    }

    std::uint64_t value() const { return this->hash; }

private:
    void add(std::int64_t number)
    {
        for (int shift = 0; shift < 64; shift += 8)
        {
            this->add_byte(static_cast<std::uint8_t>(number >> shift));
        }
    }

    void add(std::string_view text)
    {
        for (const char letter : text)
        {
            this->add_byte(static_cast<std::uint8_t>(letter));
        }
    }

    void add_byte(std::uint8_t byte)
    {
        this->hash = (this->hash ^ byte) * 0x100000001b3U;
    }

    std::uint64_t hash = 0xcbf29ce484222325U;
};

/// Plays random requests without workspaces at a broker whose slots are short:
/// online and batch, several priorities, deadlines, versions, exclusions and
/// limits, failing replicas and slots granted by another broker.
class random_load
{
public:
    explicit random_load(std::uint64_t seed) : random(seed) {}

    std::uint64_t run()
    {
        this->set_replicas();
        for (int count = 0; count < steps; ++count)
        {
            this->step();
            this->collect();
        }
        return this->digest.value();
    }

private:
    static constexpr int steps = 6000;

    int draw(int below)
    {
        // Standard distributions differ between libraries.
        return static_cast<int>(this->random() %
                                static_cast<std::uint64_t>(below));
    }

    static replica_id name_of(int number)
    {
        return replica_id("r" + std::to_string(number));
    }

    void set_replicas()
    {
        std::vector<slot_replica> usable;
        for (int number = 0; number < 5; ++number)
        {
            if (this->draw(8) == 0)
            {
                continue;
            }
            slot_replica& replica = usable.emplace_back();
            replica.id = name_of(number);
            replica.slots = 2 + number % 3;
            replica.availability_zone =
                availability_zone_name(number % 2 == 0 ? "a" : "b");
            replica.version = software_version(number < 3 ? "v1" : "v2");
            if (number == 4)
            {
                replica.limit = request_rate(3.0);
            }
        }
        this->broker.set_replicas(usable, this->now);
    }

    slot_request draw_request()
    {
        slot_request wanted;
        wanted.kind =
            this->draw(4) == 0 ? work_class::batch : work_class::online;
        wanted.priority = this->draw(3);
        const int span = wanted.kind == work_class::batch ? 9000 : 1500;
        wanted.useful_until =
            this->now + std::chrono::milliseconds(this->draw(span));
        wanted.wait_when_late =
            wanted.kind == work_class::batch || this->draw(3) == 0;
        if (this->draw(2) == 0)
        {
            wanted.abandoned_at =
                wanted.useful_until + std::chrono::milliseconds(800);
        }
        wanted.availability_zone =
            availability_zone_name(this->draw(2) == 0 ? "a" : "b");
        if (this->draw(8) == 0)
        {
            wanted.excluded = {name_of(this->draw(5))};
        }
        if (this->draw(6) == 0)
        {
            wanted.version = software_version(this->draw(2) == 0 ? "v1" : "v2");
            wanted.any_version_from =
                this->now + std::chrono::milliseconds(this->draw(600));
        }
        return wanted;
    }

    void step()
    {
        this->now += std::chrono::milliseconds(this->draw(30));
        const int action = this->draw(100);
        if (action < 45)
        {
            const slot_ticket ticket(this->next_ticket++);
            this->open.push_back(ticket);
            this->broker.request(ticket, this->draw_request(), this->now);
        }
        else if (action < 85)
        {
            this->release();
        }
        else if (action < 95)
        {
            this->broker.tick(this->now);
        }
        else if (action < 97)
        {
            this->set_replicas();
        }
        else if (action < 98)
        {
            const slot_ticket ticket(this->next_ticket++);
            this->open.push_back(ticket);
            // One after the other: the order of arguments is left open.
            const slot_request wanted = this->draw_request();
            const replica_id replica = name_of(this->draw(5));
            this->broker.adopt(ticket, wanted, replica, this->now);
        }
        else if (action < 99)
        {
            this->broker.report_failure(name_of(this->draw(5)), this->now);
        }
        else
        {
            this->broker.report_success(name_of(this->draw(5)));
        }
    }

    void release()
    {
        if (this->open.empty())
        {
            return;
        }
        const auto chosen = this->open.begin() +
                            this->draw(static_cast<int>(std::min<std::size_t>(
                                this->open.size(), oldest_released)));
        this->broker.release(*chosen, this->now);
        this->open.erase(chosen);
    }

    void collect()
    {
        for (const slot_command& command : this->broker.take_commands())
        {
            this->digest.add(command);
            if (command.decision == slot_decision::refused)
            {
                std::erase(this->open, command.ticket);
            }
        }
    }

    static constexpr std::size_t oldest_released = 12;

    random_source random;
    slot_broker broker;
    time_point now{std::chrono::seconds(100)};
    std::int64_t next_ticket = 1;
    std::vector<slot_ticket> open;
    decision_digest digest;
};

struct recorded_run
{
    std::uint64_t seed;
    std::uint64_t digest;
};

/// Digests of the decisions of build b8f9418, which knew no workspaces.
constexpr std::array<recorded_run, 8> recorded_runs = {
    {{1, 484764581506278799U},
     {2, 13906860376018159677U},
     {3, 7221728591656322703U},
     {4, 6893460693668699821U},
     {5, 3877586971120593506U},
     {6, 7899953599958543493U},
     {7, 16308276383348416515U},
     {8, 12789756693477847251U}}};

} // namespace

TEST_GROUP(unnamed_workspace){};

// Guards against deployments without workspaces that get other decisions than
// before workspaces shared the slots.
TEST(unnamed_workspace, decisions_stay_those_of_the_build_without_workspaces)
{
    for (const recorded_run& recorded : recorded_runs)
    {
        const std::uint64_t digest = random_load(recorded.seed).run();
        CHECK_TEXT(recorded.digest == digest,
                   ("seed " + std::to_string(recorded.seed) + ": " +
                    std::to_string(digest))
                       .c_str());
    }
}
