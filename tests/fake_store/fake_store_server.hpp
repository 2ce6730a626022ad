#pragma once

#include "net/http_server.hpp"
#include "units/random_source.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack::key_value
{

/// An in-process server for the HTTP/JSON form of the etcd v3 API, with fault
/// injection.
class fake_store_server
{
public:
    struct entry
    {
        std::string bytes;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };

    explicit fake_store_server(net::event_loop& loop);

    endpoint address{"127.0.0.1", 0};
    std::map<std::string, entry> keys;
    std::int64_t revision = 0;
    int calls = 0;
    /// Responds to every call with 503 and does not apply it.
    bool unavailable = false;
    /// Probabilities, in percent, that the response is lost after the call has
    /// taken effect, and that the call is lost before it takes effect.
    int response_loss_percent = 0;
    int request_loss_percent = 0;
    random_source random{7};
    /// Called with the bytes of each write that takes effect.
    std::function<void(const std::string&, const std::string&)> on_write;

    void put(const std::string& key, const std::string& bytes,
             std::int64_t lease = 0);
    void erase(const std::string& key);
    void drop_watches();

private:
    struct open_watch
    {
        std::string prefix;
        std::shared_ptr<net::http_exchange> exchange;
    };

    void handle(const std::shared_ptr<net::http_exchange>& exchange,
                const std::string& body);
    std::string range(const std::string& body) const;
    std::string transaction(const std::string& body);
    std::string lease_call(const std::string& path, const std::string& body);
    void expire(std::int64_t lease);
    void notify_watches(const std::string& key, const std::string& event);

    struct granted_lease
    {
        int time_to_live_s = 0;
        net::timer timer;
    };

    net::event_loop& event_loop;
    net::http_server server;
    std::vector<open_watch> watches;
    std::map<std::int64_t, granted_lease> leases;
    std::int64_t last_lease = 0;
};

} // namespace parsleytrack::key_value
