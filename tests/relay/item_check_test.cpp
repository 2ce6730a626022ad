#include "relay/item_check.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::relay;

TEST_GROUP(item_check)
{
    header_names names;
    jobs::job_item item;

    void setup() override
    {
        this->names.request_id = "Id";
        this->names.resume_after = "After";
        this->names.expected_replica = "Replica";
        this->item.id = "e5";
        this->item.target = "/a/b?c";
        this->item.headers = {{"Model", "m"}, {"Connection", "close"}};
    }

    bool is_refused() const
    {
        return check_item(this->item, this->names).has_value();
    }
};

TEST(item_check, accepts_ordinary_items)
{
    CHECK_FALSE(this->is_refused());
    const auto headers = item_headers(this->item, this->names);
    CHECK_EQUAL(1, headers.size());
    STRCMP_EQUAL("Model", headers[0].first.c_str());
}

// Guards against a path that ends the request and begins another one.
TEST(item_check, refuses_paths_that_would_change_in_the_request_line)
{
    for (const char* path :
         {"", "a", "/a b", "/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", "/a\nb",
          "/a\rb", "/a\tb"})
    {
        this->item.target = path;
        CHECK_TEXT(this->is_refused(), path);
    }
    this->item.target = std::string("/a\0b", 4);
    CHECK(this->is_refused());
}

TEST(item_check, refuses_ids_that_no_header_field_can_have)
{
    for (const char* id : {"", "a\r\nB: c", "a\n", " a", "a\t"})
    {
        this->item.id = id;
        CHECK_TEXT(this->is_refused(), id);
    }
}

TEST(item_check, refuses_header_fields_that_would_be_lost)
{
    for (const char* value : {"b\r\nC: d", "b\n", "b\r"})
    {
        this->item.headers = {{"A", value}};
        CHECK_TEXT(this->is_refused(), value);
    }
    for (const char* name : {"", "A b", "A:", "A\r\nB"})
    {
        this->item.headers = {{name, "b"}};
        CHECK_TEXT(this->is_refused(), name);
    }
}

// Guards against a field of the item that takes the place of the node's own.
TEST(item_check, refuses_the_fields_that_the_node_sets)
{
    for (const char* name : {"Host", "host", "ID", "after", "Replica"})
    {
        this->item.headers = {{name, "1"}};
        CHECK_TEXT(this->is_refused(), name);
    }
    this->item.headers = {{"id", this->item.id}};
    CHECK_FALSE(this->is_refused());
    CHECK(item_headers(this->item, this->names).empty());
}

TEST(item_check, one_unusable_item_suffices)
{
    jobs::job_item other = this->item;
    CHECK_FALSE(check_items({this->item, other}, this->names).has_value());
    other.target = "/a b";
    CHECK(check_items({this->item, other}, this->names).has_value());
}
