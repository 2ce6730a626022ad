#include "budgets/byte_budget.hpp"

#include <utility>

namespace parsleytrack::budgets
{

byte_budget::byte_budget(byte_count max_bytes) : max(max_bytes) {}

byte_budget::~byte_budget()
{
    this->shared->released = nullptr;
}

byte_budget::claim byte_budget::take(std::size_t bytes)
{
    const auto added = static_cast<std::int64_t>(bytes);
    if (this->shared->sum > 0 && this->shared->sum + added > this->max.count())
    {
        return nullptr;
    }
    this->shared->sum += added;
    // The pointer only has to differ from null.
    return {this->shared.get(), [kept = this->shared, added](const void*)
            {
                kept->sum -= added;
                if (kept->released)
                {
                    kept->released();
                }
            }};
}

void byte_budget::replace(std::size_t released, std::size_t added)
{
    this->shared->sum +=
        static_cast<std::int64_t>(added) - static_cast<std::int64_t>(released);
}

void byte_budget::on_release(std::function<void()> callback)
{
    this->shared->released = std::move(callback);
}

} // namespace parsleytrack::budgets
