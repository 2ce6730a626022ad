#include "logging/bounded_sink.hpp"

#include <CppUTest/TestHarness.h>

#include <spdlog/logger.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <climits>
#include <memory>
#include <string>

using namespace parsleytrack;
using detail::bounded_sink;

TEST_GROUP(bounded_sink)
{
    std::array<int, 2> pipe_ends{};
    time_point now;
    std::shared_ptr<bounded_sink> sink;
    std::shared_ptr<spdlog::logger> logger;

    void setup() override
    {
        CHECK(::pipe(this->pipe_ends.data()) == 0);
        this->sink = std::make_shared<bounded_sink>(this->pipe_ends[1], [this]
                                                    { return this->now; });
        this->logger = std::make_shared<spdlog::logger>("test", this->sink);
        this->logger->set_pattern("%v");
    }

    void teardown() override
    {
        ::close(this->pipe_ends[0]);
        ::close(this->pipe_ends[1]);
    }

    std::string read_some()
    {
        std::string text(4096, '\0');
        const ssize_t length =
            ::read(this->pipe_ends[0], text.data(), text.size());
        text.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return text;
    }
};

TEST(bounded_sink, writes_lines)
{
    this->logger->info("event=one");
    STRCMP_EQUAL("event=one\n", this->read_some().c_str());
}

TEST(bounded_sink, does_not_block_on_a_slow_reader)
{
    const std::string line(1000, 'x');
    for (int count = 0; count < 500; ++count)
    {
        this->logger->info(line);
    }
    CHECK(this->sink->dropped() > 400);
}

// A pipe that can take PIPE_BUF bytes is writable, and the write of a longer
// line then waits for the reader. Values in lines come from other writers.
TEST(bounded_sink, cuts_a_line_that_the_pipe_may_not_take_at_once)
{
    CHECK(::fcntl(this->pipe_ends[1], F_SETPIPE_SZ, PIPE_BUF) > 0);
    // Ends the process instead of hanging if a write waits.
    ::alarm(5);
    this->logger->info(std::string(1'000'000, 'x'));
    ::alarm(0);
    const std::string text = this->read_some();
    CHECK_EQUAL(PIPE_BUF, text.size());
    CHECK_EQUAL('\n', text.back());
    this->logger->info("event=after");
    STRCMP_EQUAL("event=after\n", this->read_some().c_str());
    CHECK_EQUAL(0, this->sink->dropped());
}

TEST(bounded_sink, limits_the_rate_and_reports_dropped_lines)
{
    CHECK(::fcntl(this->pipe_ends[1], F_SETPIPE_SZ, 1 << 20) > 0);
    for (int count = 0; count < 1500; ++count)
    {
        this->logger->info("x");
    }
    CHECK_EQUAL(500, this->sink->dropped());
    while (this->read_some().size() == 4096)
    {
    }
    this->now += std::chrono::seconds(1);
    this->logger->info("after");
    const std::string text = this->read_some();
    CHECK(text.find("event=log_lines_dropped count=500 total=500") !=
          std::string::npos);
    CHECK(text.find("after") != std::string::npos);
}
