#include "daemon/job_store.hpp"

#include "daemon/job_codec.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleytrack
{

namespace
{

using key_value::versioned_value;

constexpr std::size_t lots_per_listing = 200;

template <class Seen, class Decode>
result<std::optional<Seen>>
decode_seen(const std::optional<versioned_value>& value, Decode decode)
{
    if (!value)
    {
        return std::optional<Seen>();
    }
    auto record = decode(value->value);
    if (record.has_error())
    {
        return record.error();
    }
    return std::optional<Seen>(
        Seen{std::move(record.value()), value->revision});
}

/// A record that does not belong to the job would break the ledger's
/// invariants, so damaged listings are refused here.
bool fits(const job_record& job, int lot, const lot_record& record)
{
    return lot >= 0 && lot < static_cast<int>(job.lots.size()) &&
           static_cast<int>(record.ended.size()) == job.lots[lot].items;
}

} // namespace

job_store::job_store(node_context& node, storage_module& segments)
    : context(node), storage(segments)
{
}

void job_store::read_job(const job_id& job, job_callback callback)
{
    this->context.store.get(
        job_key(job),
        [callback = std::move(callback)](
            const result<std::optional<versioned_value>>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            callback(decode_seen<seen_job_record>(answer.value(),
                                                  decode_job_record));
        });
}

void job_store::swap_job(const job_id& job, store_revision expected,
                         const job_record& next, swap_job_callback callback)
{
    this->context.store.compare_and_swap(
        job_key(job), expected, encode_job_record(next),
        key_value::store_lease(),
        [this, job, callback = std::move(callback)](
            const result<key_value::swap_outcome>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            const auto& current = answer.value().current;
            if (answer.value().applied && current)
            {
                this->keep_copy(job.str(), current->revision, current->value);
            }
            callback(decode_seen<seen_job_record>(current, decode_job_record));
        });
}

void job_store::read_lot(const job_id& job, int lot, lot_callback callback)
{
    this->context.store.get(
        lot_key(job, lot),
        [callback = std::move(callback)](
            const result<std::optional<versioned_value>>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            callback(decode_seen<seen_lot_record>(answer.value(),
                                                  decode_lot_record));
        });
}

void job_store::swap_lot(const job_id& job, int lot, store_revision expected,
                         const lot_record& next, swap_lot_callback callback)
{
    this->context.store.compare_and_swap(
        lot_key(job, lot), expected, encode_lot_record(next),
        key_value::store_lease(),
        [this, job, lot, callback = std::move(callback)](
            const result<key_value::swap_outcome>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            const auto& current = answer.value().current;
            auto seen =
                decode_seen<seen_lot_record>(current, decode_lot_record);
            if (seen.has_error())
            {
                callback(seen.error());
                return;
            }
            if (answer.value().applied && current)
            {
                this->keep_copy(job.str() + "/" + std::to_string(lot),
                                current->revision, current->value);
            }
            callback(lot_swap_outcome{answer.value().applied,
                                      std::move(seen.value())});
        });
}

void job_store::keep_copy(const std::string& name, store_revision revision,
                          std::string bytes)
{
    this->storage.keep_record({name, revision.count(), std::move(bytes)},
                              [this](bool kept)
                              {
                                  if (!kept)
                                  {
                                      this->context.metrics.count(
                                          "parsleytrack_record_copies_lost_"
                                          "total",
                                          {});
                                  }
                              });
}

void job_store::read_progress(const job_id& job, progress_callback callback)
{
    this->read_job(job,
                   [this, job, callback = std::move(callback)](
                       const result<std::optional<seen_job_record>>& answer)
                   {
                       if (answer.has_error())
                       {
                           this->read_copies(job, answer.error(), callback);
                           return;
                       }
                       if (!answer.value())
                       {
                           callback(std::optional<job_progress>());
                           return;
                       }
                       this->read_lots(
                           job, answer.value()->record,
                           [this, job, callback](result<job_progress> progress)
                           {
                               if (progress.has_error())
                               {
                                   this->read_copies(job, progress.error(),
                                                     callback);
                                   return;
                               }
                               callback(std::optional<job_progress>(
                                   std::move(progress.value())));
                           });
                   });
}

void job_store::read_lots(const job_id& job, const job_record& record,
                          std::function<void(result<job_progress>)> callback)
{
    const auto progress = std::make_shared<job_progress>();
    progress->job = record;
    this->list_lots(job, "", progress, std::move(callback));
}

void job_store::list_lots(const job_id& job, const std::string& after,
                          std::shared_ptr<job_progress> progress,
                          std::function<void(result<job_progress>)> callback)
{
    this->context.store.list(
        lot_prefix(job), after, lots_per_listing,
        [this, job, progress = std::move(progress),
         callback = std::move(callback)](
            const result<std::vector<key_value::listed_value>>& answer)
        {
            if (answer.has_error())
            {
                callback(answer.error());
                return;
            }
            for (const auto& [key, value] : answer.value())
            {
                const int lot = lot_of_key(key);
                auto record = decode_lot_record(value.value);
                if (record.has_error() ||
                    !fits(progress->job, lot, record.value()))
                {
                    callback(error{error_code::corrupt_data,
                                   "the record " + key + " is damaged",
                                   ran_state::no,
                                   {}});
                    return;
                }
                progress->lots[lot] = std::move(record.value());
            }
            if (answer.value().size() == lots_per_listing)
            {
                this->list_lots(job, answer.value().back().first, progress,
                                callback);
                return;
            }
            callback(std::move(*progress));
        });
}

void job_store::read_copies(const job_id& job, const error& reason,
                            progress_callback callback)
{
    this->storage.read_records(
        job.str(),
        [this, job, reason, callback = std::move(callback)](
            const std::vector<storage::kept_record>& copies)
        {
            const auto own =
                std::find_if(copies.begin(), copies.end(),
                             [&job](const storage::kept_record& copy)
                             { return copy.name == job.str(); });
            const auto job_copy = own == copies.end()
                                      ? result<job_record>(reason)
                                      : decode_job_record(own->bytes);
            if (job_copy.has_error())
            {
                callback(reason);
                return;
            }
            job_progress progress;
            progress.job = job_copy.value();
            for (const storage::kept_record& copy : copies)
            {
                const int lot =
                    copy.name == job.str() ? -1 : lot_of_key(copy.name);
                auto record = decode_lot_record(copy.bytes);
                if (lot >= 0 && record.has_value() &&
                    fits(progress.job, lot, record.value()))
                {
                    progress.lots[lot] = std::move(record.value());
                }
            }
            this->context.metrics.count(
                "parsleytrack_record_copy_reads_total",
                {{"reason", std::string(to_string(reason.code))}});
            callback(std::optional<job_progress>(std::move(progress)));
        });
}

} // namespace parsleytrack
