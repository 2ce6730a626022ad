#include "decisions/once_ledger.hpp"

#include "units/invariant.hpp"

#include <algorithm>

namespace parsleytrack
{

namespace
{

/// Operations that come in between two writes are agreed together.
constexpr duration write_interval = std::chrono::milliseconds(100);
constexpr duration retry_wait = std::chrono::milliseconds(200);
/// While a resent call waits for the first one, which another node may record.
constexpr duration read_interval = std::chrono::milliseconds(300);

std::size_t page_size(const once_page& page)
{
    std::size_t bytes = 0;
    for (const auto& [key, entry] : page.entries)
    {
        bytes += key.size() + entry.size();
    }
    return bytes;
}

void drop_answer(once_entry& entry)
{
    entry.state = once_entry::stage::answer_dropped;
    entry.status = 0;
    entry.content_type.clear();
    entry.body.clear();
    entry.body_segment = placement();
}

void forget_expired(once_page& page, std::int64_t now_s)
{
    std::erase_if(
        page.entries, [now_s](const auto& item)
        { return now_s - item.second.created_s > once_ledger::retention_s; });
}

/// Makes room: forgets keys past their time, then drops the oldest answers.
/// A key that is still remembered is never forgotten for want of room.
void shrink(once_page& page, std::int64_t now_s)
{
    forget_expired(page, now_s);
    std::size_t bytes = page_size(page);
    if (bytes <= once_ledger::answer_limit_bytes)
    {
        return;
    }
    std::vector<std::pair<std::int64_t, once_entry*>> answered;
    for (auto& [key, entry] : page.entries)
    {
        if (entry.state == once_entry::stage::answered)
        {
            answered.emplace_back(entry.created_s, &entry);
        }
    }
    std::sort(answered.begin(), answered.end());
    for (const auto& [created_s, entry] : answered)
    {
        if (bytes <= once_ledger::answer_limit_bytes)
        {
            return;
        }
        bytes -= entry->size();
        drop_answer(*entry);
        bytes += entry->size();
    }
}

} // namespace

once_ledger::once_ledger(std::function<bool(const node_id&)> is_dead)
    : dead(std::move(is_dead))
{
}

once_ledger::operation_number once_ledger::submit(once_operation operation)
{
    const operation_number number = this->next_number++;
    this->open.emplace(number, std::move(operation));
    return number;
}

std::optional<once_ledger::action> once_ledger::next_action(time_point now,
                                                            std::int64_t now_s)
{
    this->give_up(now);
    if (this->action_under_way || this->open.empty())
    {
        return std::nullopt;
    }
    if (!this->known)
    {
        if (now < this->next_read)
        {
            return std::nullopt;
        }
        this->action_under_way = true;
        return action{};
    }
    if (now < this->next_write)
    {
        return std::nullopt;
    }
    once_page changed = this->known->page;
    if (page_size(changed) >= page_limit_bytes)
    {
        // Otherwise a full page would never be written, and so stay full.
        forget_expired(changed, now_s);
    }
    std::vector<std::pair<operation_number, once_outcome>> outcomes;
    this->has_waiting = false;
    for (const auto& [number, operation] : this->open)
    {
        auto outcome = this->apply(now, now_s, operation, changed);
        if (outcome)
        {
            outcomes.emplace_back(number, std::move(*outcome));
        }
        this->has_waiting = this->has_waiting || !outcome;
    }
    if (changed == this->known->page)
    {
        // All that follows from this page stays true in later ones.
        for (auto& [number, outcome] : outcomes)
        {
            this->answer(number, std::move(outcome));
        }
        if (this->has_waiting && now >= this->next_read)
        {
            this->next_read = now + read_interval;
            this->action_under_way = true;
            return action{};
        }
        return std::nullopt;
    }
    shrink(changed, now_s);
    this->in_write = std::move(outcomes);
    this->action_under_way = true;
    this->next_write = now + write_interval;
    return action{seen_once_page{std::move(changed), this->known->revision}};
}

std::optional<once_outcome> once_ledger::apply(time_point now,
                                               std::int64_t now_s,
                                               const once_operation& operation,
                                               once_page& page) const
{
    switch (operation.what)
    {
    case once_operation::kind::acquire:
        return this->acquire(now, now_s, operation, page);
    case once_operation::kind::record:
        return record(operation, page);
    case once_operation::kind::release:
        break;
    }
    return release(operation, page);
}

std::optional<once_outcome>
once_ledger::acquire(time_point now, std::int64_t now_s,
                     const once_operation& operation, once_page& page) const
{
    using kind = once_outcome::kind;
    const auto found = page.entries.find(operation.key);
    if (found == page.entries.end())
    {
        if (page_size(page) >= page_limit_bytes)
        {
            return once_outcome{kind::full, {}};
        }
        once_entry entry = operation.entry;
        entry.state = once_entry::stage::intended;
        entry.created_s = now_s;
        page.entries[operation.key] = std::move(entry);
        return once_outcome{kind::granted, {}};
    }
    const once_entry& entry = found->second;
    if (entry.fingerprint != operation.entry.fingerprint)
    {
        return once_outcome{kind::conflict, {}};
    }
    if (entry.state == once_entry::stage::answered)
    {
        return once_outcome{kind::recorded, entry};
    }
    if (entry.state == once_entry::stage::answer_dropped)
    {
        return once_outcome{kind::may_have_run, {}};
    }
    if (entry.claim == operation.entry.claim)
    {
        // An earlier write of this very operation, whose answer was lost.
        return once_outcome{kind::granted, {}};
    }
    if (now >= operation.wait_until || this->dead(entry.holder))
    {
        return once_outcome{kind::may_have_run, {}};
    }
    return std::nullopt;
}

once_outcome once_ledger::record(const once_operation& operation,
                                 once_page& page)
{
    using kind = once_outcome::kind;
    const auto found = page.entries.find(operation.key);
    if (found == page.entries.end() ||
        found->second.claim != operation.entry.claim)
    {
        return once_outcome{kind::not_held, {}};
    }
    once_entry& entry = found->second;
    if (entry.state == once_entry::stage::intended)
    {
        entry.state = operation.entry.state;
        entry.status = operation.entry.status;
        entry.content_type = operation.entry.content_type;
        entry.body = operation.entry.body;
        entry.body_segment = operation.entry.body_segment;
    }
    return once_outcome{kind::done, {}};
}

once_outcome once_ledger::release(const once_operation& operation,
                                  once_page& page)
{
    const auto found = page.entries.find(operation.key);
    if (found != page.entries.end() &&
        found->second.claim == operation.entry.claim &&
        found->second.state == once_entry::stage::intended)
    {
        page.entries.erase(found);
    }
    return once_outcome{once_outcome::kind::done, {}};
}

void once_ledger::on_page(time_point now, const result<seen_once_page>& answer)
{
    this->action_under_way = false;
    if (answer.has_error())
    {
        this->next_read = now + retry_wait;
        this->fail_acquires();
        return;
    }
    this->known = answer.value();
}

void once_ledger::on_swap(time_point now,
                          const result<std::pair<bool, seen_once_page>>& answer)
{
    this->action_under_way = false;
    auto outcomes = std::exchange(this->in_write, {});
    if (answer.has_error())
    {
        // Whether it was written shows when the page is read again.
        this->known.reset();
        this->next_read = now;
        if (answer.error().code != error_code::store_outcome_unknown)
        {
            this->next_read = now + retry_wait;
            this->fail_acquires();
        }
        return;
    }
    this->known = answer.value().second;
    if (!answer.value().first)
    {
        this->next_write = now;
        return;
    }
    for (auto& [number, outcome] : outcomes)
    {
        this->answer(number, std::move(outcome));
    }
}

void once_ledger::fail_acquires()
{
    std::vector<operation_number> failed;
    for (const auto& [number, operation] : this->open)
    {
        if (operation.what == once_operation::kind::acquire)
        {
            failed.push_back(number);
        }
    }
    for (const operation_number number : failed)
    {
        this->answer(number, {once_outcome::kind::unavailable, {}});
    }
}

void once_ledger::give_up(time_point now)
{
    std::vector<operation_number> late;
    for (const auto& [number, operation] : this->open)
    {
        if (now >= operation.give_up_at)
        {
            late.push_back(number);
        }
    }
    for (const operation_number number : late)
    {
        this->answer(number, {once_outcome::kind::unavailable, {}});
    }
}

void once_ledger::answer(operation_number number, once_outcome outcome)
{
    // It may have been given up on while the write was under way.
    if (this->open.erase(number) > 0)
    {
        this->answers.emplace_back(number, std::move(outcome));
    }
}

std::vector<std::pair<once_ledger::operation_number, once_outcome>>
once_ledger::take_answers()
{
    return std::exchange(this->answers, {});
}

} // namespace parsleytrack
