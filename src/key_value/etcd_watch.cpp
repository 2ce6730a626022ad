#include "key_value/etcd_watch.hpp"

#include "key_value/value_reader.hpp"

#include <utility>
#include <vector>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr duration initial_retry_delay = std::chrono::milliseconds(200);
constexpr duration max_retry_delay = std::chrono::seconds(5);
// Detects connections that were cut without being closed.
constexpr duration stream_idle_timeout = std::chrono::seconds(60);
constexpr std::size_t page_key_limit = 500;

} // namespace

etcd_watch::etcd_watch(std::shared_ptr<etcd_transport> http_transport,
                       std::shared_ptr<write_id_cache> ids,
                       std::string key_prefix, watch_callback on_change)
    : transport(std::move(http_transport)), write_ids(std::move(ids)),
      prefix(std::move(key_prefix)), callback(std::move(on_change)),
      retry_backoff(initial_retry_delay, max_retry_delay)
{
}

void etcd_watch::start()
{
    this->open();
}

void etcd_watch::stop()
{
    this->stopped = true;
    this->close_stream();
}

void etcd_watch::close_stream()
{
    if (this->stream)
    {
        this->transport->close_stream_later(*this->stream);
        this->stream.reset();
    }
}

void etcd_watch::open()
{
    ++this->generation;
    this->buffer.clear();
    const std::weak_ptr<etcd_watch> weak_self = this->weak_from_this();
    etcd_transport::stream_callbacks callbacks;
    const std::uint64_t current = this->generation;
    callbacks.on_piece = [weak_self, current](std::string_view piece)
    {
        const auto self = weak_self.lock();
        if (self && !self->stopped && self->generation == current)
        {
            self->receive(piece);
        }
    };
    callbacks.on_end = [weak_self, current](const error&)
    {
        const auto self = weak_self.lock();
        if (self && !self->stopped && self->generation == current)
        {
            self->stream.reset();
            self->reopen();
        }
    };
    this->stream =
        this->transport->open_stream("/v3/watch", watch_body(this->prefix),
                                     stream_idle_timeout, std::move(callbacks));
}

void etcd_watch::reopen()
{
    if (this->stopped)
    {
        return;
    }
    this->close_stream();
    ++this->generation;
    const std::uint64_t current = this->generation;
    const std::weak_ptr<etcd_watch> weak_self = this->weak_from_this();
    this->transport->call_after(
        this->retry_backoff.next_delay(this->transport->random()),
        [weak_self, current]
        {
            const auto self = weak_self.lock();
            if (self && !self->stopped && self->generation == current)
            {
                self->open();
            }
        });
}

void etcd_watch::receive(std::string_view piece)
{
    this->buffer += piece;
    std::size_t line_end = this->buffer.find('\n');
    while (line_end != std::string::npos && this->stream)
    {
        const std::string line = this->buffer.substr(0, line_end);
        this->buffer.erase(0, line_end + 1);
        if (!line.empty())
        {
            this->handle_line(line);
        }
        line_end = this->buffer.find('\n');
    }
}

void etcd_watch::handle_line(std::string_view line)
{
    const auto response = parse_watch(line);
    if (response.has_error() || response.value().cancelled)
    {
        this->reopen();
        return;
    }
    if (response.value().created)
    {
        this->listed.clear();
        this->deleted_during_listing.clear();
        this->list_from(this->prefix);
    }
    for (const watch_event& event : response.value().events)
    {
        if (event.deleted)
        {
            this->report_deleted(event.entry.key, event.entry.revision);
        }
        else
        {
            this->report(event.entry);
        }
        if (this->stopped)
        {
            return;
        }
    }
}

void etcd_watch::list_from(const std::string& first)
{
    const std::weak_ptr<etcd_watch> weak_self = this->weak_from_this();
    this->transport->post_idempotent(
        "/v3/kv/range",
        range_body(first, prefix_range_end(this->prefix), page_key_limit),
        call_priority::normal,
        [weak_self, current = this->generation](const call_outcome& outcome)
        {
            const auto self = weak_self.lock();
            if (self && !self->stopped && self->generation == current)
            {
                self->handle_page(outcome);
            }
        });
}

void etcd_watch::handle_page(const call_outcome& outcome)
{
    if (outcome.status != call_outcome::status_kind::succeeded)
    {
        this->reopen();
        return;
    }
    const auto page = parse_range(outcome.body);
    if (page.has_error())
    {
        this->reopen();
        return;
    }
    for (const stored_key& entry : page.value().keys)
    {
        const auto deleted = this->deleted_during_listing.find(entry.key);
        if (deleted != this->deleted_during_listing.end() &&
            entry.revision < deleted->second)
        {
            continue;
        }
        this->report(entry);
        if (this->stopped)
        {
            return;
        }
    }
    if (page.value().more && !page.value().keys.empty())
    {
        this->list_from(page.value().keys.back().key + '\0');
        return;
    }
    this->retry_backoff.reset();
    this->report_missing_keys();
}

void etcd_watch::report_missing_keys()
{
    std::vector<std::string> missing_keys;
    for (const auto& [key, revision] : this->reported)
    {
        if (!this->listed.contains(key))
        {
            missing_keys.push_back(key);
        }
    }
    for (const std::string& key : missing_keys)
    {
        this->reported.erase(key);
        this->callback(key, std::nullopt);
        if (this->stopped)
        {
            return;
        }
    }
    this->listed.clear();
    this->deleted_during_listing.clear();
}

void etcd_watch::report(const stored_key& entry)
{
    this->listed[entry.key] = entry.revision;
    store_revision& last = this->reported[entry.key];
    if (entry.revision < last)
    {
        return;
    }
    last = entry.revision;
    this->callback(entry.key, read_value(entry, *this->write_ids));
}

void etcd_watch::report_deleted(const std::string& key, store_revision revision)
{
    const auto found = this->reported.find(key);
    if (found != this->reported.end() && revision < found->second)
    {
        return;
    }
    this->reported.erase(key);
    this->listed.erase(key);
    this->deleted_during_listing[key] = revision;
    this->callback(key, std::nullopt);
}

} // namespace parsleytrack::key_value::detail
