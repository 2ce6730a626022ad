#include "slots/broker_choice.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::slots;
using std::chrono::milliseconds;

TEST_GROUP(broker_choice)
{
    broker_choice choice{std::chrono::seconds(1)};
    std::vector<node_info> living;
    time_point now = time_point() + std::chrono::hours(1);

    void setup() override
    {
        for (int number = 0; number < 6; ++number)
        {
            node_info node;
            node.id = node_id("n" + std::to_string(number));
            this->living.push_back(node);
        }
    }

    node_id choose()
    {
        return this->choice
            .choose("llm/0", this->living[0], this->living, this->now)
            .id;
    }
};

TEST(broker_choice, all_nodes_choose_alike)
{
    broker_choice other(std::chrono::seconds(1));
    CHECK(this->choose() ==
          other.choose("llm/0", this->living[3], this->living, this->now).id);
}

TEST(broker_choice, a_silent_broker_is_left_out_for_a_while)
{
    const node_id first = this->choose();
    CHECK(this->choice.note_silent(first, this->now));
    CHECK(this->choose() != first);
    this->now += milliseconds(999);
    CHECK(this->choose() != first);
    this->now += milliseconds(1);
    CHECK(this->choose() == first);
}

TEST(broker_choice, orders_sent_before_do_not_keep_it_out)
{
    // Several orders are under way when a broker falls silent; each notes it.
    const node_id first = this->choose();
    this->choice.note_silent(first, this->now);
    for (int order = 0; order < 8; ++order)
    {
        this->now += milliseconds(10);
        CHECK_FALSE(this->choice.note_silent(first, this->now));
    }
    CHECK(this->choose() != first);
    this->now += milliseconds(920);
    CHECK(this->choose() == first);
}

TEST(broker_choice, a_change_of_the_nodes_is_looked_at)
{
    const node_id first = this->choose();
    std::erase_if(this->living,
                  [&first](const node_info& node) { return node.id == first; });
    this->choice.forget();
    CHECK(this->choose() != first);
}

TEST(broker_choice, a_node_alone_asks_itself)
{
    this->living.clear();
    node_info own;
    own.id = node_id("alone");
    CHECK(this->choice.choose("llm/0", own, this->living, this->now).id ==
          own.id);
}
