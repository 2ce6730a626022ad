#include "relay/result_readers.hpp"

#include <iterator>
#include <utility>

namespace parsleytrack::relay
{

void result_readers::read(std::size_t after, duration wait,
                          page_callback callback)
{
    const std::optional<jobs::job_page> first = this->page(after);
    if (!first || !first->results.empty() || wait <= duration::zero() ||
        this->job.state().is_finished())
    {
        callback(first);
        return;
    }
    reader& added = this->waiting.emplace_back();
    added.after = after;
    added.callback = std::move(callback);
    added.expiry =
        this->loop.call_after(wait,
                              [this, entry = std::prev(this->waiting.end())]
                              {
                                  const reader expired = std::move(*entry);
                                  this->waiting.erase(entry);
                                  expired.callback(this->page(expired.after));
                              });
}

void result_readers::answer_ready()
{
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();)
    {
        const std::optional<jobs::job_page> found = this->page(entry->after);
        if (found && found->results.empty() && !this->job.state().is_finished())
        {
            ++entry;
            continue;
        }
        const page_callback callback = std::move(entry->callback);
        entry = this->waiting.erase(entry);
        callback(found);
    }
}

void result_readers::answer_all()
{
    for (const reader& entry : std::exchange(this->waiting, {}))
    {
        entry.callback(this->page(entry.after));
    }
}

} // namespace parsleytrack::relay
