#include "net/http_router.hpp"

#include "net/error_response.hpp"

#include <utility>

namespace parsleytrack
{

namespace
{

bool matches(const std::string& pattern, const std::string& path)
{
    if (!pattern.empty() && pattern.back() == '/')
    {
        return path.compare(0, pattern.size(), pattern) == 0;
    }
    return path == pattern;
}

} // namespace

void http_router::add(std::string method, std::string path, handler callback)
{
    this->routes.push_back(
        route{std::move(method), std::move(path), std::move(callback)});
}

void http_router::dispatch(
    const std::shared_ptr<net::http_exchange>& exchange) const
{
    const net::http_request_head& head = exchange->head();
    const route* best = nullptr;
    bool path_is_known = false;
    for (const route& candidate : this->routes)
    {
        if (!matches(candidate.path, head.path))
        {
            continue;
        }
        path_is_known = true;
        if (!candidate.method.empty() && candidate.method != head.method)
        {
            continue;
        }
        if (best == nullptr || candidate.path.size() > best->path.size())
        {
            best = &candidate;
        }
    }
    if (best != nullptr)
    {
        best->callback(exchange);
        return;
    }
    const error reason{
        path_is_known ? error_code::bad_request : error_code::not_found,
        path_is_known ? head.path + " does not support " + head.method
                      : "unknown path " + head.path,
        ran_state::no,
        {}};
    respond_error(*exchange, reason);
}

} // namespace parsleytrack
