#include "early_server.hpp"
#include "http_pair.hpp"

#include <string>
#include <vector>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

using ending = early_server::ending;

constexpr const char* unframed = "HTTP/1.1 200 OK\r\n\r\nthe first part";
constexpr const char* unframed_close =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe first part";
constexpr const char* with_length =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
constexpr const char* with_chunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nwhole\r\n0\r\n\r\n";
/// The kernel takes an upload of the first size at once, and a part of one of
/// the second, also if the server reads none of it.
constexpr std::size_t taken_upload = 300'000;
constexpr std::size_t long_upload = 3'500'000;
/// The server's side takes it at once.
constexpr std::size_t short_upload = 20'000;

} // namespace

TEST_GROUP_BASE(early_response, http_pair){
    /// Sends an upload to a server.
    ///
    /// \returns The number of the connection that carried it.
    std::uint64_t upload(const early_server& server,
                         std::size_t size){this->outcome.reset();
this->address.port = server.port;
http_request request;
request.method = "POST";
request.total_timeout = std::chrono::seconds(2);
request.body = std::string(size, 'u');
const auto call = this -> send(request);
this->wait();
return call->connection().connection;
}

/// \returns How long the request with an upload is, head and body.
std::size_t request_bytes(std::size_t size)
{
    const early_server server(this->loop, {with_length, ending::open});
    this->upload(server, size);
    const std::size_t head = server.received(0).find("\r\n\r\n") + 4;
    const time_point limit = event_loop::now() + max_wait;
    while (server.received(0).size() < head + size && event_loop::now() < limit)
    {
        this->loop.run_for(std::chrono::milliseconds(2));
    }
    return head + size;
}

void check_incomplete(const early_server::behaviour& chosen, std::size_t size)
{
    const early_server server(this->loop, chosen);
    this->upload(server, size);
    const std::string text = chosen.response + " ending " +
                             std::to_string(static_cast<int>(chosen.end)) +
                             " size " + std::to_string(size);
    CHECK_TEXT(this->outcome->has_error(), text.c_str());
    CHECK(this->outcome->error().ran == ran_state::unknown);
}

void check_whole(const early_server::behaviour& chosen, std::size_t size,
                 const char* body)
{
    const early_server server(this->loop, chosen);
    this->upload(server, size);
    CHECK_TEXT(this->outcome->has_value(), chosen.response.c_str());
    STRCMP_EQUAL(body, this->outcome->value().body.c_str());
}
}
;

// Guards against taking a part of a response for the whole, where only the end
// of the connection ends it and the server has not read the request. The server
// ends its side in order, or its reset arrives after such an end.
TEST(early_response, a_part_before_the_end_of_the_upload_is_not_complete)
{
    for (const char* response : {unframed, unframed_close})
    {
        for (const ending end : {ending::closed, ending::half_closed,
                                 ending::closed_in_steps, ending::reset})
        {
            for (const std::size_t size : {taken_upload, long_upload})
            {
                this->check_incomplete({response, end}, size);
            }
        }
        // The server's side takes all of it, so that only the reset tells.
        this->check_incomplete({response, ending::closed_in_steps},
                               short_upload);
    }
}

// Guards against rejecting sound responses of servers that mark their end by
// that of the connection.
TEST(early_response, a_response_after_the_upload_ends_with_the_connection)
{
    for (const char* response : {unframed, unframed_close})
    {
        for (const ending end :
             {ending::closed, ending::half_closed, ending::closed_in_steps})
        {
            for (const std::size_t size :
                 {std::size_t{0}, taken_upload, long_upload})
            {
                // The server must have read the head, too.
                this->check_whole({response, end, this->request_bytes(size)},
                                  size, "the first part");
            }
        }
    }
}

// Guards against losing responses that come early and say themselves where they
// end, such as a refusal of a large upload.
TEST(early_response, a_framed_response_before_the_end_of_the_upload_is_passed)
{
    for (const char* response : {with_length, with_chunks})
    {
        for (const ending end : {ending::open, ending::idle})
        {
            this->check_whole({response, end}, taken_upload, "whole");
        }
        this->check_whole({response, ending::open}, long_upload, "whole");
    }
}

// Guards against sending a request behind an upload that the server has not
// read: a server that has answered may take the rest for the next request.
TEST(early_response, its_connection_is_not_used_again)
{
    for (const char* response : {with_length, with_chunks})
    {
        for (const std::size_t size : {taken_upload, long_upload})
        {
            const early_server server(this->loop, {response, ending::open});
            const std::uint64_t first = this->upload(server, size);
            CHECK(this->outcome->has_value());
            CHECK(this->upload(server, 0) != first);
            CHECK(this->outcome->has_value());
            CHECK_EQUAL(2, server.connection_count());
            STRNCMP_EQUAL("POST / HTTP/1.1\r\n", server.received(1).c_str(),
                          17);
            CHECK(server.received(1).find("uuu") == std::string::npos);
        }
    }
}

// Guards against passing on what is no response of HTTP.
TEST(early_response, a_status_outside_of_100_to_599_is_no_response)
{
    for (const char* status : {"000", "99", "600", "1000"})
    {
        const std::string response = std::string("HTTP/1.1 ") + status +
                                     " Text\r\nContent-Length: 5\r\n\r\nwhole";
        this->check_incomplete({response, ending::open}, 0);
        this->check_incomplete({response, ending::closed}, 0);
    }
}

// Guards against rejecting a status that is unusual and valid.
TEST(early_response, a_status_of_up_to_599_is_a_response)
{
    this->check_whole(
        {"HTTP/1.1 599 Text\r\nContent-Length: 5\r\n\r\nwhole", ending::open},
        0, "whole");
}
