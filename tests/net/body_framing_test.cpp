#include "net/body_framing.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

bool is_clear(const std::string& fields)
{
    return is_framing_clear("POST /a HTTP/1.1\r\nHost: h\r\n" + fields);
}

} // namespace

TEST_GROUP(body_framing){};

TEST(body_framing, one_length_or_one_coding_is_clear)
{
    for (const char* fields :
         {"", "Content-Length: 0", "content-LENGTH:12", "A: b\r\n folded",
          "Content-Length: \t12 \r\nA: b", "Transfer-Encoding: Chunked",
          "X-Content-Length: x\r\nContent-Length: 5", "A: Content-Length: x"})
    {
        CHECK_TEXT(is_clear(fields), fields);
    }
}

// Guards against a body whose end callers and nodes see at different places.
TEST(body_framing, what_can_be_read_in_several_ways_is_not)
{
    for (const char* fields :
         {"Content-Length:", "Content-Length: +5", "Content-Length: -5",
          "Content-Length: 5, 5", "Content-Length: 5 5", "Content-Length: 0x5",
          "Content-Length: 5\r\nContent-Length: 5",
          "Content-Length: 5\r\nA: b\r\ncontent-length: 6",
          "Content-Length : x", "Content-Length: 5\r\n 6",
          "Content-Length: 5\nContent-Length: 6",
          "Transfer-Encoding: chunked\r\n\t, identity",
          "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 5",
          "Content-Length: 5\r\nTransfer-Encoding: chunked"})
    {
        CHECK_FALSE_TEXT(is_clear(fields), fields);
    }
}
