#include "relay_support/replica_stand_in.hpp"

#include "relay_support/replica_record.hpp"

#include <utility>

namespace parsleytrack::relay_support
{

namespace
{

constexpr int events_before_truncation = 3;

std::string event_text(int number)
{
    const std::string digits = std::to_string(number);
    std::string text = "id: ";
    text.append(digits).append("\ndata: t").append(digits).append("\n\n");
    return text;
}

} // namespace

replica_stand_in::replica_stand_in(net::event_loop& event_loop,
                                   std::string replica_name)
    : loop(event_loop), id(std::move(replica_name)), server(event_loop)
{
    this->address.port = this->server.listen(this->address).value();
    this->advertised_address = this->address;
    this->server.set_handler(
        [this](const std::shared_ptr<net::http_exchange>& exchange)
        {
            exchange->on_body(4 * 1024 * 1024,
                              [this, exchange](const std::string& body)
                              { this->handle_request(exchange, body); });
        });
}

std::string replica_stand_in::record(const std::string& service,
                                     const std::string& state) const
{
    constexpr int slots = 4;
    return replica_record(service, this->advertised_address, state, slots,
                          this->started, this->version);
}

void replica_stand_in::restart()
{
    ++this->started;
    if (this->refused_port)
    {
        this->server.listen(this->address).value();
        this->refused_port.reset();
    }
}

void replica_stand_in::replace()
{
    this->version = this->version == "v1" ? "v2" : "v1";
    this->restart();
    this->id += "-" + std::to_string(this->started);
}

void replica_stand_in::stop()
{
    if (!this->refused_port)
    {
        this->server.stop_accepting();
        this->refused_port.emplace(this->address);
    }
}

bool replica_stand_in::is_crashing(const net::http_request_head& head,
                                   const std::string& body) const
{
    const std::string* parts =
        net::find_header(head.headers, "Parsleytrack-Prompt-Prefix");
    const bool has_part = !this->crashing_part.empty() && parts != nullptr &&
                          parts->find(this->crashing_part) != std::string::npos;
    const bool has_content = !this->crashing_path.empty() &&
                             head.path == this->crashing_path &&
                             body == this->crashing_body;
    return has_part || has_content;
}

void replica_stand_in::handle_request(
    const std::shared_ptr<net::http_exchange>& exchange,
    const std::string& body)
{
    if (this->refused_port)
    {
        exchange->abort();
        return;
    }
    this->arrivals.push_back(net::event_loop::now());
    const auto& headers = exchange->head().headers;
    if (this->on_arrival)
    {
        this->on_arrival(headers);
    }
    const std::string* request =
        net::find_header(headers, "Parsleytrack-Request-Id");
    const std::string* expected =
        net::find_header(headers, "Parsleytrack-Expect-Instance");
    if (request == nullptr || (expected != nullptr && *expected != this->id))
    {
        exchange->respond(request == nullptr ? 400 : 421, {}, "");
        return;
    }
    const std::string* wanted =
        net::find_header(headers, "Parsleytrack-Expect-Version");
    if (wanted != nullptr && *wanted != this->weights)
    {
        exchange->respond(421,
                          {{"Parsleytrack-Request-Id", *request},
                           {"Parsleytrack-Not-Executed", "1"}},
                          "");
        return;
    }
    if (this->behaviour == fault::full)
    {
        net::http_header_list fields = this->extra_headers;
        fields.emplace_back("Parsleytrack-Not-Executed", "1");
        fields.emplace_back("Parsleytrack-Request-Id", *request);
        exchange->respond(503, fields, "");
        return;
    }
    ++this->runs[*request];
    ++this->run_count;
    this->received_headers[*request] = headers;
    if (this->on_run)
    {
        this->on_run(*request, headers);
    }
    const std::string* remaining_ms =
        net::find_header(headers, "Parsleytrack-Deadline-Ms");
    if (remaining_ms != nullptr)
    {
        this->received_deadlines[*request] = {std::stoi(*remaining_ms),
                                              net::event_loop::now()};
    }
    net::http_header_list response_headers = this->extra_headers;
    response_headers.emplace_back("Parsleytrack-Request-Id", *request);
    response_headers.emplace_back("Parsleytrack-Response-Seal",
                                  "seal-" + *request);
    const bool is_failed =
        this->behaviour == fault::failing ||
        (this->behaviour == fault::failing_once && this->runs[*request] == 1) ||
        (this->behaviour == fault::failing_by_turns &&
         this->run_count % 2 == 1);
    if (is_failed)
    {
        ++this->failures[*request];
        exchange->respond(500, response_headers, "failed");
        return;
    }
    if (this->is_crashing(exchange->head(), body))
    {
        this->streams[this->next_stream++].exchange = exchange;
        this->crash_timer =
            this->loop.call_after(crash_delay, [this] { this->crash(); });
        if (!exchange->head().path.starts_with("/plain/"))
        {
            response_headers.emplace_back("Content-Type", "text/event-stream");
            exchange->start_stream(200, response_headers);
            const std::string* resumed =
                net::find_header(headers, "Last-Event-Id");
            const int first = resumed == nullptr ? 1 : std::stoi(*resumed) + 1;
            for (int count = 0; count < this->events_before_crash; ++count)
            {
                exchange->write_chunk(event_text(first + count));
            }
        }
        return;
    }
    if (exchange->head().path.starts_with("/plain/"))
    {
        exchange->respond(200, response_headers, "page of " + *request);
        return;
    }
    this->start_stream(exchange, response_headers);
}

void replica_stand_in::start_stream(
    const std::shared_ptr<net::http_exchange>& exchange,
    const net::http_header_list& headers)
{
    const std::string* resumed =
        net::find_header(exchange->head().headers, "Last-Event-Id");
    const std::uint64_t number = this->next_stream++;
    stream& entry = this->streams[number];
    entry.exchange = exchange;
    entry.next = resumed == nullptr ? 1 : std::stoi(*resumed) + 1;
    entry.request =
        *net::find_header(exchange->head().headers, "Parsleytrack-Request-Id");
    entry.version = this->version;
    this->resumed_after[entry.request].push_back(entry.next - 1);
    if (entry.next > 1)
    {
        this->resumptions.emplace(entry.request, entry.next - 1, entry.version);
    }
    net::http_header_list fields = headers;
    fields.emplace_back("Content-Type", "text/event-stream");
    exchange->start_stream(200, fields);
    entry.event_timer =
        this->loop.call_every(this->event_interval, [this, number]
                              { this->send_next_event(number); });
}

void replica_stand_in::crash()
{
    ++this->crashes;
    for (auto& [number, entry] : std::exchange(this->streams, {}))
    {
        entry.exchange->abort();
    }
    if (this->on_crash)
    {
        this->on_crash();
    }
}

void replica_stand_in::send_next_event(std::uint64_t number)
{
    stream& entry = this->streams.at(number);
    const auto exchange = entry.exchange;
    if (this->is_silent && exchange->is_open())
    {
        return;
    }
    const bool is_truncated = this->behaviour == fault::truncating &&
                              entry.next > events_before_truncation;
    if (entry.next > this->event_count || is_truncated || !exchange->is_open())
    {
        if (is_truncated)
        {
            exchange->write_chunk("id: 99\ndata: br");
            exchange->abort();
        }
        else
        {
            exchange->finish_stream();
        }
        const net::timer finished_timer = std::move(entry.event_timer);
        this->streams.erase(number);
        return;
    }
    exchange->write_chunk(event_text(entry.next));
    this->sent_events.emplace(entry.request, entry.next, entry.version);
    ++entry.next;
}

} // namespace parsleytrack::relay_support
