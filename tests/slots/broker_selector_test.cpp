#include "slots/broker_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::slots;
using std::chrono::milliseconds;

TEST_GROUP(broker_selector)
{
    broker_selector selector{std::chrono::seconds(1)};
    std::vector<node_info> live_nodes;
    time_point now = time_point() + std::chrono::hours(1);

    void setup() override
    {
        for (int number = 0; number < 6; ++number)
        {
            node_info node;
            node.id = node_id("n" + std::to_string(number));
            this->live_nodes.push_back(node);
        }
    }

    node_id choose()
    {
        return this->selector
            .choose("llm/0", this->live_nodes[0], this->live_nodes, this->now)
            .id;
    }
};

TEST(broker_selector, all_nodes_choose_the_same_broker)
{
    broker_selector other(std::chrono::seconds(1));
    CHECK(
        this->choose() ==
        other.choose("llm/0", this->live_nodes[3], this->live_nodes, this->now)
            .id);
}

TEST(broker_selector, an_unresponsive_broker_is_excluded_temporarily)
{
    const node_id first = this->choose();
    CHECK(this->selector.mark_unresponsive(first, this->now));
    CHECK(this->choose() != first);
    this->now += milliseconds(999);
    CHECK(this->choose() != first);
    this->now += milliseconds(1);
    CHECK(this->choose() == first);
}

TEST(broker_selector, repeated_reports_do_not_extend_the_exclusion)
{
    // Several requests are pending when a broker becomes unresponsive; each of
    // them reports it.
    const node_id first = this->choose();
    this->selector.mark_unresponsive(first, this->now);
    for (int request = 0; request < 8; ++request)
    {
        this->now += milliseconds(10);
        CHECK_FALSE(this->selector.mark_unresponsive(first, this->now));
    }
    CHECK(this->choose() != first);
    this->now += milliseconds(920);
    CHECK(this->choose() == first);
}

TEST(broker_selector, the_choice_follows_a_change_of_the_nodes)
{
    const node_id first = this->choose();
    std::erase_if(this->live_nodes,
                  [&first](const node_info& node) { return node.id == first; });
    this->selector.clear_choices();
    CHECK(this->choose() != first);
}

TEST(broker_selector, a_node_without_live_nodes_chooses_itself)
{
    this->live_nodes.clear();
    node_info own;
    own.id = node_id("alone");
    CHECK(this->selector.choose("llm/0", own, this->live_nodes, this->now).id ==
          own.id);
}
