#pragma once

#include "budgets/byte_budget.hpp"
#include "metrics/registry.hpp"
#include "net/event_loop.hpp"
#include "net/http_exchange.hpp"
#include "net/http_header_list.hpp"
#include "units/result.hpp"
#include "units/time.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::relay
{

/// A response that several callers get.
struct shared_response
{
    int status = 0;
    net::http_header_list headers;
    std::string body;
    /// Room for it, until all callers have been answered.
    budgets::byte_budget::claim room;
};

/// Lets callers that read the same at the same time share one read and one
/// response, and limits what is added to their connections at a time: between
/// two turns, the server closes connections of callers that do not read.
class shared_reads
{
public:
    using response_pointer = std::shared_ptr<const shared_response>;
    using end_callback = std::function<void(result<response_pointer>)>;

    /// \param event_loop Outlives this object.
    /// \param node_metrics Outlives this object.
    shared_reads(net::event_loop& event_loop, metrics::registry& node_metrics);

    /// Answers a caller by a read of the same that has just begun, or begins
    /// one.
    ///
    /// \param key What is read.
    /// \param begin Begins the read; calls its argument once, at its end.
    void join(const std::string& key,
              const std::shared_ptr<net::http_exchange>& caller,
              const std::function<void(end_callback)>& begin);

private:
    struct shared_read
    {
        time_point began;
        std::vector<std::shared_ptr<net::http_exchange>> callers;
    };
    struct unsent_response
    {
        std::shared_ptr<net::http_exchange> caller;
        response_pointer response;
    };

    void finish(const std::string& key,
                const std::shared_ptr<shared_read>& read,
                const result<response_pointer>& end);
    void send_responses();
    void forget_older_reads(time_point now);

    net::event_loop& loop;
    metrics::registry& metrics;
    /// Reads that callers may still join, by what they read.
    std::map<std::string, std::shared_ptr<shared_read>> joinable;
    std::deque<unsent_response> unsent;
    net::timer send_timer;
    bool is_sending = false;
};

} // namespace parsleytrack::relay
