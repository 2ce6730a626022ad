#include "units/error_code.hpp"
#include "units/ids.hpp"
#include "units/numbers.hpp"

#include <CppUTest/TestHarness.h>

#include <type_traits>

using namespace parsleytrack;

TEST_GROUP(strong_id){};

TEST(strong_id, ids_of_different_kinds_do_not_convert)
{
    static_assert(!std::is_convertible_v<node_id, replica_id>);
    static_assert(!std::is_convertible_v<std::string, node_id>);
    CHECK(node_id("a") < node_id("b"));
}

TEST(strong_id, first_and_last_error_code_have_their_names)
{
    CHECK(to_string(error_code::bad_request) == "bad_request");
    CHECK(to_string(error_code::internal) == "internal");
}

TEST(strong_id, numbers_add_and_increment)
{
    LONGS_EQUAL(3, (item_index(1) + item_index(2)).count());
    CHECK(epoch_number(1).next() == epoch_number(2));
}
