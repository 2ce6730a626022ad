#include "backends/service_link.hpp"

#include <utility>

namespace parsleytrack::backends
{

service_link::service_link(net::http_client& client, endpoint address)
    : backend(client, std::move(address))
{
}

std::unique_ptr<net::http_call>
service_link::send(const backend_request& request, backend_hooks hooks)
{
    return this->backend.send(request, refused_by_leaving, std::move(hooks));
}

std::unique_ptr<net::http_call>
service_link::read_load(std::function<void(result<load_report>)> callback)
{
    return this->backend.read_load(std::move(callback));
}

std::unique_ptr<net::http_call> service_link::stop(const request_id&,
                                                   std::function<void()>)
{
    return nullptr;
}

} // namespace parsleytrack::backends
