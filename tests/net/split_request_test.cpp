#include "http_pair.hpp"

#include <string>

using namespace parsleytrack;
using namespace parsleytrack::net;

namespace
{

/// One request as the server received it.
struct received_request
{
    http_request_head head;
    std::string body;
    bool complete = false;
};

void run_briefly(event_loop& loop)
{
    for (int turn = 0; turn < 3; ++turn)
    {
        loop.run_for(std::chrono::milliseconds(1));
    }
}

} // namespace

TEST_GROUP_BASE(split_request, http_pair)
{
    received_request seen;

    /// Sends a request in two pieces, once for each possible split position.
    void send_split(const std::string& text, const std::string& path,
                    const std::string& body)
    {
        this->server.set_handler(
            [this](const std::shared_ptr<http_exchange>& exchange)
            {
                this->seen.head = exchange->head();
                exchange->on_body(10'000,
                                  [this, exchange](const std::string& read)
                                  {
                                      this->seen.body = read;
                                      this->seen.complete = true;
                                      exchange->respond(200, {}, "");
                                  });
            });
        for (std::size_t split = 1; split < text.size(); ++split)
        {
            this->seen = received_request();
            const int link = connect_to(this->address);
            ::send(link, text.data(), split, 0);
            run_briefly(this->loop);
            ::send(link, text.data() + split, text.size() - split, 0);
            const time_point limit = event_loop::now() + max_wait;
            while (!this->seen.complete && event_loop::now() < limit)
            {
                this->loop.run_for(std::chrono::milliseconds(1));
            }
            STRCMP_EQUAL(path.c_str(), this->seen.head.path.c_str());
            STRCMP_EQUAL("e5b2907c", this->seen.head.query["id"].c_str());
            STRCMP_EQUAL("ficu95.example",
                         find_header(this->seen.head.headers, "Host")->c_str());
            STRCMP_EQUAL(body.c_str(), this->seen.body.c_str());
            ::close(link);
            run_briefly(this->loop);
        }
    }
};

TEST(split_request, without_a_body)
{
    this->send_split("GET /v1/items/5c1e07a2?id=e5b2907c&x=1 HTTP/1.1\r\n"
                     "Host: ficu95.example\r\nWait: 1000\r\n\r\n",
                     "/v1/items/5c1e07a2", "");
}

TEST(split_request, with_a_body_of_known_length)
{
    this->send_split("POST /a/b?id=e5b2907c HTTP/1.1\r\n"
                     "Host: ficu95.example\r\nContent-Length: 8\r\n\r\n"
                     "the body",
                     "/a/b", "the body");
}

TEST(split_request, with_a_body_in_chunks)
{
    this->send_split("POST /a/b?id=e5b2907c HTTP/1.1\r\n"
                     "Host: ficu95.example\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "3\r\nthe\r\n15\r\n body in three chunks\r\n0\r\n\r\n",
                     "/a/b", "the body in three chunks");
}
