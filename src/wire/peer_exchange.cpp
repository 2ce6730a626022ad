#include "wire/peer_exchange.hpp"

#include "wire/failure_conversion.hpp"
#include "wire/generated/frame_types.h"
#include "wire/peer_connection.hpp"

#include <utility>

namespace parsleytrack::wire
{

namespace
{

void send_frame(const std::weak_ptr<detail::peer_connection>& connection,
                std::int64_t call_id, frame_kind::type kind,
                std::string_view payload)
{
    const auto link = connection.lock();
    if (!link)
    {
        return;
    }
    frame message;
    message.call_id = call_id;
    message.kind = kind;
    message.payload = std::string(payload);
    link->send(message);
    if (kind != frame_kind::part)
    {
        link->remove_exchange(call_id);
    }
}

} // namespace

peer_exchange::peer_exchange(std::weak_ptr<detail::peer_connection> link,
                             std::int64_t id, std::string request_payload)
    : connection(std::move(link)), call_id(id),
      payload(std::move(request_payload))
{
}

void peer_exchange::send_part(std::string_view part)
{
    if (!this->ended)
    {
        send_frame(this->connection, this->call_id, frame_kind::part, part);
    }
}

void peer_exchange::finish(std::string_view last)
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    this->cancel_callback = nullptr;
    send_frame(this->connection, this->call_id, frame_kind::last, last);
}

void peer_exchange::fail(const error& reason)
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    this->cancel_callback = nullptr;
    send_frame(this->connection, this->call_id, frame_kind::failure,
               encode_failure(reason));
}

std::size_t peer_exchange::pending_output_bytes() const
{
    const auto link = this->connection.lock();
    return link ? link->pending_output_bytes() : 0;
}

void peer_exchange::on_cancelled(std::function<void()> callback)
{
    this->cancel_callback = std::move(callback);
}

void peer_exchange::handle_cancel()
{
    if (this->ended)
    {
        return;
    }
    this->ended = true;
    const auto callback = std::move(this->cancel_callback);
    this->cancel_callback = nullptr;
    if (callback)
    {
        callback();
    }
}

} // namespace parsleytrack::wire
