#include "early_server.hpp"
#include "http_pair.hpp"

#include <memory>
#include <optional>
#include <string>

using namespace parsleytrack;
using namespace parsleytrack::net;

TEST_GROUP(request_framing)
{
    event_loop loop;
    early_server server{loop, {"HTTP/1.1 204 No Content\r\n\r\n"}};
    http_client client{loop};
    std::optional<result<http_response>> outcome;

    void send(const http_request& request)
    {
        this->outcome.reset();
        http_client::callbacks hooks;
        hooks.on_end = [this](result<http_response> end)
        {
            this->outcome = std::move(end);
        };
        const auto call = this->client.send(
            endpoint{"127.0.0.1", this->server.port}, request, hooks);
        const time_point limit = event_loop::now() + max_wait;
        while (!this->outcome && event_loop::now() < limit)
        {
            this->loop.run_for(std::chrono::milliseconds(5));
        }
        CHECK(this->outcome.has_value());
    }

    /// \returns The bytes of a request on a connection of its own.
    std::string written(const std::string& method, const std::string& body)
    {
        http_request request;
        request.method = method;
        request.body = body;
        request.allow_connection_reuse = false;
        this->send(request);
        CHECK(this->outcome->has_value());
        return this->server.received(this->server.connection_count() - 1);
    }
};

// Guards against a server that takes a body for the next request, since it was
// sent without its length.
TEST(request_framing, every_body_has_its_length)
{
    for (const char* method :
         {"POST", "PUT", "PATCH", "DELETE", "OPTIONS", "GET", "HEAD"})
    {
        const std::string bytes = this->written(method, "the body");
        STRCMP_CONTAINS("\r\nContent-Length: 8\r\n", bytes.c_str());
        CHECK_TEXT(bytes.ends_with("\r\n\r\nthe body"), bytes.c_str());
    }
}

// Guards against a server that waits for the body of a method that has one.
TEST(request_framing, no_body_is_a_length_too)
{
    for (const char* method : {"POST", "PUT", "PATCH"})
    {
        STRCMP_CONTAINS("\r\nContent-Length: 0\r\n",
                        this->written(method, "").c_str());
    }
    for (const char* method : {"DELETE", "OPTIONS", "GET", "HEAD"})
    {
        CHECK(this->written(method, "").find("Content-Length") ==
              std::string::npos);
    }
}

// Guards against fields of others that contradict the length of the body.
TEST(request_framing, the_fields_of_the_request_do_not_set_it)
{
    for (const char* name :
         {"Content-Length", "content-length", "Transfer-Encoding"})
    {
        http_request request;
        request.method = "POST";
        request.body = "the body";
        request.headers = {{name, "3"}};
        this->send(request);
        CHECK(this->outcome->has_error());
        CHECK(this->outcome->error().code == error_code::bad_request);
        CHECK(this->outcome->error().ran == ran_state::no);
        CHECK_EQUAL(0, this->server.connection_count());
    }
}
