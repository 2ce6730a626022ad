#include "key_value/etcd_watch.hpp"

#include "key_value/value_reader.hpp"

#include <utility>
#include <vector>

namespace parsleytrack::key_value::detail
{

namespace
{

constexpr duration first_pause = std::chrono::milliseconds(200);
constexpr duration longest_pause = std::chrono::seconds(5);
// A connection that was cut without a word is noticed after this silence.
constexpr duration longest_silence = std::chrono::seconds(60);
constexpr std::size_t page_keys = 500;

} // namespace

etcd_watch::etcd_watch(std::shared_ptr<etcd_caller> calls,
                       std::shared_ptr<write_id_cache> ids,
                       std::string key_prefix, watch_callback on_change)
    : caller(std::move(calls)), write_ids(std::move(ids)),
      prefix(std::move(key_prefix)), callback(std::move(on_change)),
      pauses(first_pause, longest_pause)
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
        this->caller->close_soon(*this->stream);
        this->stream.reset();
    }
}

void etcd_watch::open()
{
    ++this->opening;
    this->unread.clear();
    const std::weak_ptr<etcd_watch> observed = this->weak_from_this();
    etcd_caller::stream_callbacks hooks;
    const std::uint64_t current = this->opening;
    hooks.on_piece = [observed, current](std::string_view piece)
    {
        const auto self = observed.lock();
        if (self && !self->stopped && self->opening == current)
        {
            self->receive(piece);
        }
    };
    hooks.on_end = [observed, current](const error&)
    {
        const auto self = observed.lock();
        if (self && !self->stopped && self->opening == current)
        {
            self->stream.reset();
            self->reopen();
        }
    };
    this->stream =
        this->caller->open_stream("/v3/watch", watch_body(this->prefix),
                                  longest_silence, std::move(hooks));
}

void etcd_watch::reopen()
{
    if (this->stopped)
    {
        return;
    }
    this->close_stream();
    ++this->opening;
    const std::uint64_t current = this->opening;
    const std::weak_ptr<etcd_watch> observed = this->weak_from_this();
    this->caller->after(this->pauses.next(this->caller->random()),
                        [observed, current]
                        {
                            const auto self = observed.lock();
                            if (self && !self->stopped &&
                                self->opening == current)
                            {
                                self->open();
                            }
                        });
}

void etcd_watch::receive(std::string_view piece)
{
    this->unread += piece;
    std::size_t end = this->unread.find('\n');
    while (end != std::string::npos && this->stream)
    {
        const std::string line = this->unread.substr(0, end);
        this->unread.erase(0, end + 1);
        if (!line.empty())
        {
            this->handle_line(line);
        }
        end = this->unread.find('\n');
    }
}

void etcd_watch::handle_line(std::string_view line)
{
    const auto answer = parse_watch(line);
    if (answer.has_error() || answer.value().cancelled)
    {
        this->reopen();
        return;
    }
    if (answer.value().created)
    {
        this->listed.clear();
        this->deleted_meanwhile.clear();
        this->list_from(this->prefix);
    }
    for (const watch_event& event : answer.value().events)
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
    const std::weak_ptr<etcd_watch> observed = this->weak_from_this();
    this->caller->post_repeatable(
        "/v3/kv/range",
        range_body(first, end_of_prefix(this->prefix), page_keys),
        call_lane::normal,
        [observed, current = this->opening](const call_end& end)
        {
            const auto self = observed.lock();
            if (self && !self->stopped && self->opening == current)
            {
                self->handle_page(end);
            }
        });
}

void etcd_watch::handle_page(const call_end& end)
{
    if (end.how != call_end::kind::answered)
    {
        this->reopen();
        return;
    }
    const auto page = parse_range(end.body);
    if (page.has_error())
    {
        this->reopen();
        return;
    }
    for (const stored_key& entry : page.value().keys)
    {
        const auto deleted = this->deleted_meanwhile.find(entry.key);
        if (deleted != this->deleted_meanwhile.end() &&
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
    this->pauses.reset();
    this->report_deleted_since_listing();
}

void etcd_watch::report_deleted_since_listing()
{
    std::vector<std::string> gone;
    for (const auto& [key, revision] : this->reported)
    {
        if (!this->listed.contains(key))
        {
            gone.push_back(key);
        }
    }
    for (const std::string& key : gone)
    {
        this->reported.erase(key);
        this->callback(key, std::nullopt);
        if (this->stopped)
        {
            return;
        }
    }
    this->listed.clear();
    this->deleted_meanwhile.clear();
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
    this->deleted_meanwhile[key] = revision;
    this->callback(key, std::nullopt);
}

} // namespace parsleytrack::key_value::detail
