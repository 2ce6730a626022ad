#include "allotments/workspace_owners.hpp"

#include "decisions/rendezvous.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::allotments;
using std::chrono::hours;
using std::chrono::seconds;

namespace
{

node_info make_node(int number, std::int64_t process = 1)
{
    node_info node;
    node.id = node_id("node-" + std::to_string(number));
    node.process = process_number(process);
    return node;
}

} // namespace

TEST_GROUP(workspace_owners)
{
    const time_point start{hours(5)};
    const workspace_name name{"workspace"};
    std::vector<node_info> live;
    workspace_owners owners{node_id("node-0")};

    void setup() override
    {
        for (int number = 0; number < 20; ++number)
        {
            this->live.push_back(make_node(number));
        }
        // Best for the workspace first.
        std::sort(this->live.begin(), this->live.end(),
                  [this](const node_info& left, const node_info& right)
                  {
                      return rendezvous_score(left.id.str(), this->name.str()) >
                             rendezvous_score(right.id.str(), this->name.str());
                  });
        this->owners.update(this->live, this->start);
    }

    /// Checks the owner of the workspace and since when it is.
    void expect(const node_info& node, seconds since)
    {
        const workspace_owner* owner = this->owners.owner_of(this->name);
        CHECK(owner != nullptr);
        STRCMP_EQUAL(node.id.str().c_str(), owner->node.id.str().c_str());
        CHECK(owner->since == this->start + since);
    }
};

// The new owner must not count what refilled before it was the owner.
TEST(workspace_owners, the_next_node_owns_from_the_loss_of_the_owner)
{
    const node_info lost = this->live.front();
    this->live.erase(this->live.begin());
    CHECK(this->owners.update(this->live, this->start + seconds(7)));
    this->expect(this->live.front(), seconds(7));
    this->live.insert(this->live.begin(), lost);
    CHECK(this->owners.update(this->live, this->start + seconds(9)));
    this->expect(lost, seconds(9));
}

// Each change of any node would otherwise empty all buckets.
TEST(workspace_owners, other_nodes_do_not_interrupt_an_ownership)
{
    const node_info other = this->live.back();
    this->live.pop_back();
    this->owners.update(this->live, this->start + seconds(3));
    this->live.push_back(other);
    this->owners.update(this->live, this->start + seconds(4));
    this->expect(this->live.front(), seconds(0));
    CHECK_FALSE(this->owners.update(this->live, this->start + seconds(5)));
}

// The bucket is in the memory of the process.
TEST(workspace_owners, a_restarted_process_owns_from_its_start)
{
    this->live.front().process = process_number(2);
    CHECK(this->owners.update(this->live, this->start + seconds(6)));
    this->expect(this->live.front(), seconds(6));
}

// A node that leaves, and one without callers, must not be asked.
TEST(workspace_owners, nodes_that_serve_no_callers_own_nothing)
{
    this->live.front().entry = false;
    this->owners.update(this->live, this->start + seconds(2));
    this->expect(this->live.at(1), seconds(2));
    this->owners.update({}, this->start + seconds(3));
    CHECK(this->owners.owner_of(this->name) == nullptr);
}

// Others may have granted requests during a pause of this process.
TEST(workspace_owners, a_pause_interrupts_only_what_this_node_owns)
{
    workspace_owners paused(this->live.front().id);
    paused.update(this->live, this->start);
    paused.restart_own(this->start + seconds(8));
    CHECK(paused.owner_of(this->name)->since == this->start + seconds(8));
    this->owners.restart_own(this->start + seconds(8));
    this->expect(this->live.front(), seconds(0));
}

// The memory of nodes that have gone is bounded; what is forgotten must not
// make an ownership older than it is.
TEST(workspace_owners, forgets_old_changes_without_looking_back_further)
{
    for (int number = 100; number < 2300; ++number)
    {
        this->live.push_back(make_node(number));
        this->owners.update(this->live, this->start + seconds(number));
        this->live.pop_back();
        this->owners.update(this->live, this->start + seconds(number));
    }
    const auto* owner = this->owners.owner_of(this->name);
    CHECK(owner->since > this->start);
}

// During an upgrade a node of the build before would be asked for ever.
TEST(workspace_owners, a_process_that_does_not_know_of_allotments_is_excluded)
{
    this->owners.exclude(this->live.front(), this->start + seconds(4));
    this->owners.update(this->live, this->start + seconds(5));
    this->expect(this->live.at(1), seconds(4));
    this->live.front().process = process_number(9);
    this->owners.update(this->live, this->start + seconds(6));
    this->expect(this->live.front(), seconds(6));
}

// An answer of an earlier process says nothing about the next one.
TEST(workspace_owners, a_confirmation_is_for_one_process)
{
    this->owners.confirm(this->live.front());
    CHECK(this->owners.is_confirmed(this->live.front()));
    CHECK_FALSE(this->owners.is_confirmed(this->live.at(1)));
    this->live.front().process = process_number(2);
    this->owners.update(this->live, this->start + seconds(1));
    CHECK_FALSE(this->owners.is_confirmed(this->live.front()));
}
