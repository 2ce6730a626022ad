#include "http_pair.hpp"

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::net;

TEST_GROUP_BASE(unwritable_request, http_pair)
{
    int received = 0;

    void setup() override
    {
        http_pair::setup();
        this->server.set_handler(
            [this](const std::shared_ptr<http_exchange>& exchange)
            {
                ++this->received;
                exchange->respond(200, {}, "");
            });
    }

    void check_not_sent(const http_request& request)
    {
        this->outcome.reset();
        const auto call = this->send(request);
        this->wait();
        CHECK(this->outcome->has_error());
        CHECK(this->outcome->error().code == error_code::bad_request);
        CHECK(this->outcome->error().ran == ran_state::no);
        LONGS_EQUAL(0, this->received);
    }
};

// Guards against a server that reads two requests, or another one than was
// meant.
TEST(unwritable_request, is_not_sent)
{
    http_request request;
    request.target = "/a HTTP/1.1\r\nContent-Length: 0\r\n\r\nGET /b";
    this->check_not_sent(request);
    request.target = "/a b";
    this->check_not_sent(request);
    request.target = "/a";
    request.method = "PURGE";
    this->check_not_sent(request);
    request.method = "GET";
    request.headers = {{"A", "b\r\nC: d"}};
    this->check_not_sent(request);
    request.headers.clear();
    this->outcome.reset();
    const auto call = this->send(request);
    this->wait();
    LONGS_EQUAL(200, this->outcome->value().status);
    LONGS_EQUAL(1, this->received);
}
