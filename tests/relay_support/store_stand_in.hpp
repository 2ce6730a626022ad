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
#include <utility>
#include <vector>

namespace parsleytrack::relay_support
{

/// Stands in for those parts of the platform's store that the relay uses. It
/// can refuse the calls at each of its addresses separately.
class store_stand_in
{
public:
    explicit store_stand_in(net::event_loop& event_loop);

    /// Listens on an additional address.
    ///
    /// \returns The address.
    endpoint add_address();

    /// Writes a key without a transaction, as operators and replicas do.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    /// \returns The values of all keys that start with a prefix.
    std::vector<std::string> values(const std::string& prefix) const;

    /// Replaces a text in all values that are read at an address, so that one
    /// node reaches a replica in another way than the others.
    void replace_at(const endpoint& address, const std::string& text,
                    const std::string& replacement);

    /// Sets whether all calls at an address are refused with status 503.
    void set_refusing(const endpoint& address, bool refusing);

    /// \returns The number of calls refused because of set_refusing().
    int refused_calls() const { return this->refused_count; }

    /// \returns The addresses at which watches of a prefix are open.
    std::set<endpoint> watchers(const std::string& prefix) const;

    /// Sets whether the transactions sent to an address get no response and are
    /// not applied.
    void hold_transactions_of(const endpoint& address, bool held);

    /// Sets whether the reads of single keys that are sent to an address get no
    /// response.
    void hold_reads_of(const endpoint& address, bool held);

    /// \returns The number of reads that were not answered because of
    /// hold_reads_of().
    int held_reads() const { return this->held_read_count; }

    /// Closes the connections of the watches that are open now.
    void cut_watches();

    /// Never responds to the watches that are open now.
    void forget_watches();

    /// Number of following transactions that are processed and whose response
    /// is not sent.
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
        bool holding_transactions = false;
        bool holding_reads = false;
        std::vector<std::pair<std::string, std::string>> replacements;
    };

    access_point& find(const endpoint& address);
    void handle_request(const access_point& entry,
                        const std::shared_ptr<net::http_exchange>& exchange);
    void get(const access_point& entry, net::http_exchange& exchange);
    void list(const access_point& entry, net::http_exchange& exchange);
    void watch(const access_point& entry,
               const std::shared_ptr<net::http_exchange>& exchange);
    void commit(net::http_exchange& exchange, const std::string& body);
    /// \param source Where the record is read; nullptr for unchanged values.
    nlohmann::json item(const std::string& key, const stored& entry,
                        const access_point* source) const;
    nlohmann::json events(const access_point& source, const std::string& prefix,
                          std::int64_t after) const;
    void write(const std::string& key, const std::string& value, bool deleted);
    void notify_watches();

    net::event_loop& loop;
    std::list<access_point> access_points;
    std::map<std::string, stored> keys;
    std::list<pending_watch> watches;
    /// Calls that never get a response.
    std::vector<std::shared_ptr<net::http_exchange>> forgotten;
    std::int64_t revision = 1;
    int transaction_count = 0;
    int refused_count = 0;
    int held_read_count = 0;
};

} // namespace parsleytrack::relay_support
