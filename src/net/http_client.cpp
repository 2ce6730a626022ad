#include "net/http_client.hpp"

#include "net/http_transfer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace parsleytrack::net
{

namespace
{

constexpr std::size_t max_idle_connections_per_target = 64;

} // namespace

http_client::http_client(event_loop& event_loop) : loop_handle(event_loop) {}

http_client::~http_client() = default;

std::unique_ptr<http_call> http_client::send(const endpoint& target,
                                             const http_request& request,
                                             callbacks hooks)
{
    auto connection = this->acquire_connection(target, request);
    const connection_use use = connection->begin_request(request.identity);
    const auto transfer = std::make_shared<detail::http_transfer>(
        *this, target, std::move(connection), std::move(hooks));
    transfer->start(request);
    const std::weak_ptr<detail::http_transfer> weak_transfer = transfer;
    return std::make_unique<http_call>(
        [weak_transfer]
        {
            if (const auto locked = weak_transfer.lock())
            {
                locked->cancel();
            }
        },
        use);
}

void http_client::return_connection(
    const endpoint& target, std::unique_ptr<detail::http_connection> connection)
{
    if (connection->has_unread_bytes() || connection->is_used_up())
    {
        return;
    }
    auto& connections = this->idle[target];
    if (connections.size() < max_idle_connections_per_target)
    {
        connections.push_back(std::move(connection));
    }
}

void http_client::close_idle_connections(const endpoint& target)
{
    this->idle.erase(target);
}

bool http_client::has_idle_connection(const endpoint& target,
                                      time_point when) const
{
    const auto found = this->idle.find(target);
    return found != this->idle.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [when](const auto& connection) {
                           return connection->is_open() &&
                                  connection->created_at() < when;
                       });
}

std::unique_ptr<detail::http_connection>
http_client::acquire_connection(const endpoint& target,
                                const http_request& request)
{
    const auto found = this->idle.find(target);
    if (request.allow_connection_reuse && found != this->idle.end())
    {
        auto& connections = found->second;
        // The one used last is the least likely to have been closed meanwhile.
        const auto last =
            std::find_if(connections.rbegin(), connections.rend(),
                         [&request](const auto& connection)
                         { return connection->accepts(request.identity); });
        if (last != connections.rend())
        {
            auto connection = std::move(*last);
            connections.erase(std::next(last).base());
            return connection;
        }
    }
    return std::make_unique<detail::http_connection>(
        this->loop_handle.base(), target, this->next_connection++);
}

} // namespace parsleytrack::net
