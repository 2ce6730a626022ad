#pragma once

#include "net/event_loop.hpp"
#include "net/http_exchange.hpp"
#include "net/http_server.hpp"
#include "units/endpoint.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace parsleytrack::relay_support
{

/// The platform's store, as far as the relay uses it. Each address that it
/// listens on can be turned away for itself.
class store_stand_in
{
public:
    explicit store_stand_in(net::event_loop& event_loop);

    /// Listens on one more address.
    endpoint add_address();

    /// Writes a key as operators and replicas do.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    /// \returns The values of all keys with a prefix.
    std::vector<std::string> values(const std::string& prefix) const;

    /// Refuses all calls at an address with 503, or no longer.
    void set_refusing(const endpoint& address, bool refusing);

    /// \returns Calls that were refused because of set_refusing().
    int refused_calls() const { return this->refused_count; }

    /// \returns Addresses through which changes of a prefix are waited for.
    std::set<endpoint> watchers(const std::string& prefix) const;

    /// The next transactions are carried out and not answered.
    int lost_responses = 0;

    int transactions() const { return this->transaction_count; }

private:
    struct stored
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        bool deleted = false;
    };
    struct pending_watch
    {
        std::string prefix;
        std::int64_t after = 0;
        endpoint address;
        std::shared_ptr<net::http_exchange> exchange;
        net::timer expiry;
    };
    struct access_point
    {
        explicit access_point(net::event_loop& loop) : server(loop) {}
        net::http_server server;
        endpoint address;
        bool refusing = false;
    };

    void handle_request(const access_point& entry,
                        const std::shared_ptr<net::http_exchange>& exchange);
    void get(net::http_exchange& exchange);
    void list(net::http_exchange& exchange);
    void watch(const access_point& entry,
               const std::shared_ptr<net::http_exchange>& exchange);
    void commit(net::http_exchange& exchange, const std::string& body);
    nlohmann::json item(const std::string& key, const stored& entry) const;
    nlohmann::json events(const std::string& prefix, std::int64_t after) const;
    void write(const std::string& key, const std::string& value, bool deleted);
    void notify_watches();

    net::event_loop& loop;
    std::list<access_point> access_points;
    std::map<std::string, stored> keys;
    std::list<pending_watch> watches;
    std::int64_t revision = 1;
    int transaction_count = 0;
    int refused_count = 0;
};

} // namespace parsleytrack::relay_support
