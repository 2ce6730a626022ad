#pragma once

#include "decisions/once_operation.hpp"
#include "decisions/once_outcome.hpp"
#include "decisions/once_page.hpp"
#include "units/result.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace parsleytrack
{

/// Agrees on the operations of one page, many with one write. Several nodes
/// may work on the same page: a write compares the revision, and operations
/// are applied again to whatever page is there. So nothing depends on who
/// considers himself the owner, and a lost answer of the store does no harm.
class once_ledger
{
public:
    using operation_number = std::uint64_t;

    /// Write this page if it still has the expected revision and call
    /// on_swap(); without a page, read it and call on_page().
    struct action
    {
        std::optional<seen_once_page> write;
    };

    /// \param is_dead Says of a node that it is gone for good.
    explicit once_ledger(std::function<bool(const node_id&)> is_dead);

    /// Adds an operation.
    ///
    /// \returns Its number, which its answer carries.
    operation_number submit(once_operation operation);

    /// \param now The time.
    /// \param now_s Wall clock in seconds, for entries that retire.
    /// \returns What is to be done; nothing while an action is under way.
    std::optional<action> next_action(time_point now, std::int64_t now_s);

    /// Outcomes of the actions.
    void on_page(time_point now, const result<seen_once_page>& answer);
    /// \param answer The page that the store holds now, and whether it is the
    /// one that was to be written.
    void on_swap(time_point now,
                 const result<std::pair<bool, seen_once_page>>& answer);

    /// \returns Operations that have come to an end.
    std::vector<std::pair<operation_number, once_outcome>> take_answers();

    /// \returns Whether no operation is open.
    bool idle() const { return this->open.empty(); }

    /// How long a key is remembered after its first use.
    static constexpr std::int64_t retention_s = 24 * 3600;
    /// Beyond this size answers are dropped, the oldest first.
    static constexpr std::size_t answer_limit_bytes = 512 * 1024;
    /// Beyond this size no key is taken any more.
    static constexpr std::size_t page_limit_bytes = 768 * 1024;

private:
    /// \returns The outcome of an operation on a page, which it may change;
    /// nothing when it has to wait.
    std::optional<once_outcome> apply(time_point now, std::int64_t now_s,
                                      const once_operation& operation,
                                      once_page& page) const;
    std::optional<once_outcome> acquire(time_point now, std::int64_t now_s,
                                        const once_operation& operation,
                                        once_page& page) const;
    static once_outcome record(const once_operation& operation,
                               once_page& page);
    static once_outcome release(const once_operation& operation,
                                once_page& page);
    void give_up(time_point now);
    void fail_acquires();
    void answer(operation_number number, once_outcome outcome);

    std::function<bool(const node_id&)> dead;
    std::map<operation_number, once_operation> open;
    std::vector<std::pair<operation_number, once_outcome>> answers;
    /// Outcomes that hold once the write under way has been applied.
    std::vector<std::pair<operation_number, once_outcome>> in_write;
    std::optional<seen_once_page> known;
    bool action_under_way = false;
    bool has_waiting = false;
    time_point next_write;
    time_point next_read;
    operation_number next_number = 1;
};

} // namespace parsleytrack
