#include "relay/online_service.hpp"

#include "logging/log.hpp"
#include "net/http_syntax.hpp"
#include "relay/refusal.hpp"
#include "relay/stop_schedule.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace parsleytrack::relay
{

namespace
{

std::optional<duration> parse_remaining_time(const net::http_request_head& head,
                                             const header_names& names)
{
    const std::string* text =
        net::find_header(head.headers, names.remaining_time_ms.c_str());
    if (text == nullptr)
    {
        return std::nullopt;
    }
    std::int64_t count = 0;
    const auto parsed =
        std::from_chars(text->data(), text->data() + text->size(), count);
    if (parsed.ec != std::errc() || count < 0)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds(count);
}

/// \returns Why a request cannot be sent to a replica unchanged; nullptr if it
/// can.
const char* find_problem(const net::http_request_head& head)
{
    if (!net::is_supported_method(head.method))
    {
        return "the method is not supported";
    }
    const bool is_sound =
        net::is_request_target(head.path) &&
        net::is_request_target("/" + head.raw_query) &&
        std::all_of(head.headers.begin(), head.headers.end(),
                    [](const auto& field)
                    {
                        return net::is_field_name(field.first) &&
                               net::is_field_value(field.second);
                    });
    return is_sound ? nullptr
                    : "the request's head contains characters that it cannot "
                      "have";
}

} // namespace

online_service::online_service(const relay_context& node,
                               slot_client& slot_source)
    : context(node), slots(slot_source)
{
    this->context.configuration.on_change([this] { this->schedule_review(); });
    this->context.replicas.on_change([this] { this->schedule_review(); });
}

void online_service::schedule_review()
{
    if (std::exchange(this->review_is_scheduled, true))
    {
        return;
    }
    // A change may come up while a call handles a response.
    this->context.loop.post(
        [this]
        {
            this->review_is_scheduled = false;
            for (const auto& [number, call] : this->calls)
            {
                call->review_service();
            }
        });
}

void online_service::handle_request(
    const std::shared_ptr<net::http_exchange>& exchange,
    std::shared_ptr<const routing::route_table> table,
    const routing::route& route, const workspaces::workspace* workspace,
    std::optional<time_point> closes_at)
{
    const header_names& names = this->context.adapter.headers();
    const std::string* id =
        net::find_header(exchange->head().headers, names.request_id.c_str());
    if (id == nullptr)
    {
        refuse(*exchange, error{error_code::bad_request,
                                names.request_id + " is missing",
                                ran_state::no,
                                {}});
        return;
    }
    if (const char* problem = find_problem(exchange->head()))
    {
        refuse(*exchange,
               error{error_code::bad_request, problem, ran_state::no, {}});
        return;
    }
    online_request request;
    request.id = request_id(*id);
    request.route = &route;
    request.workspace = workspace;
    request.received = net::event_loop::now();
    request.hop = read_hop(exchange->head().headers);
    const auto remaining_time = parse_remaining_time(exchange->head(), names);
    duration allowed = route.timeout;
    if (remaining_time)
    {
        allowed = allowed > duration::zero()
                      ? std::min(allowed, *remaining_time)
                      : *remaining_time;
        request.elapsed_before = this->wait_estimator.estimate(
            route.name, *remaining_time, request.received);
    }
    request.deadline = request.received + allowed;
    if (closes_at && request.deadline > *closes_at)
    {
        refuse(*exchange, error{error_code::shutting_down,
                                "this node stops before the request may end",
                                ran_state::no, stop_schedule::retry_after});
        return;
    }
    const std::size_t limit =
        static_cast<std::size_t>(table->contents().limits.body.count());
    request.table = std::move(table);
    exchange->on_body(
        limit,
        [this, exchange, request = std::move(request)](std::string body) mutable
        {
            request.body = std::move(body);
            this->start(exchange, std::move(request));
        });
}

void online_service::start(const std::shared_ptr<net::http_exchange>& exchange,
                           online_request request)
{
    const std::uint64_t number = this->next_number++;
    auto call = std::make_unique<online_call>(
        this->context, this->slots, exchange, std::move(request),
        [this, number] {
            this->context.loop.post([this, number]
                                    { this->calls.erase(number); });
        });
    online_call& started = *call;
    this->calls[number] = std::move(call);
    started.start();
}

} // namespace parsleytrack::relay
