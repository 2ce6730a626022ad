#pragma once

#include "backends/backend_hooks.hpp"
#include "backends/backend_request.hpp"
#include "backends/load_report.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace parsleytrack::backends
{

/// What engines and plain services have in common.
class http_backend
{
public:
    /// Turns an answer's status into an error, where it is not to be passed on.
    using status_check =
        std::function<std::optional<error>(const net::http_response& head)>;

    /// \param client The HTTP client.
    /// \param address Where the server listens.
    http_backend(net::http_client& client, endpoint address);

    /// Sends a request.
    ///
    /// \param request What to send.
    /// \param check Looks at the head of the answer.
    /// \param hooks Whom to tell.
    /// \returns The call; destroying it cancels the request.
    [[nodiscard]] std::unique_ptr<net::http_call>
    send(const backend_request& request, status_check check,
         backend_hooks hooks);

    /// Asks for `GET /v1/load`.
    [[nodiscard]] std::unique_ptr<net::http_call>
    read_load(std::function<void(result<load_report>)> callback);

    net::http_client& client() { return this->http; }
    const endpoint& address() const { return this->target; }

private:
    net::http_client& http;
    endpoint target;
};

/// \param head The head of an answer.
/// \returns The error for an answer that says that the server refused the
/// request because it is leaving; nothing otherwise.
std::optional<error> refused_by_leaving(const net::http_response& head);

} // namespace parsleytrack::backends
