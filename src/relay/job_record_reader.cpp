#include "relay/job_record_reader.hpp"

#include "jobs/job_codec.hpp"
#include "jobs/page_builder.hpp"
#include "logging/log.hpp"
#include "relay/job_keys.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace parsleytrack::relay
{

namespace
{

/// What a read of a page of results, or of a job's input, holds: the response
/// of the store and what is decoded of it.
constexpr std::size_t bytes_per_read = 2 * jobs::max_page_bytes;
/// A request that has waited for longer for reads of its job is refused.
constexpr duration max_wait = std::chrono::seconds(1);
constexpr duration retry_after_failure = std::chrono::milliseconds(500);

error too_many_reads(duration retry_after)
{
    return error{error_code::store_unavailable,
                 "too many reads of jobs are under way", ran_state::no,
                 retry_after};
}

error item_not_found()
{
    return error{error_code::not_found,
                 "the job or item does not exist",
                 ran_state::no,
                 {}};
}

/// \returns Consecutive results from a position on, as far as the records have
/// them.
std::vector<jobs::job_result>
decode_results(const job_id& job, std::size_t first,
               const std::vector<key_value::stored_record>& records)
{
    std::vector<jobs::job_result> decoded;
    for (const key_value::stored_record& record : records)
    {
        auto output = jobs::decode_output(record.value);
        const std::size_t position = first + decoded.size();
        if (output.has_error() || record.key != job_output_key(job, position))
        {
            log_event(log_level::error, "job_output_damaged",
                      {{"key", record.key},
                       {"position", position},
                       {"reason", output.has_error() ? output.error().message
                                                     : "another position"}});
            break;
        }
        decoded.push_back(std::move(output.value()));
    }
    return decoded;
}

} // namespace

error read_failed(const job_id& job)
{
    return error{error_code::store_unavailable,
                 "job " + job.str() + " cannot be read now", ran_state::no,
                 retry_after_failure};
}

job_record_reader::job_record_reader(const relay_context& node,
                                     read_admission& reads)
    : context(node), admission(reads)
{
}

void job_record_reader::read_results(const job_id& job, std::size_t after,
                                     std::size_t total, page_callback callback)
{
    results_queue& waiting = this->results[job];
    waiting.push_back(results_request{after, total, std::move(callback),
                                      net::event_loop::now()});
    if (waiting.size() == 1)
    {
        this->begin_results(job);
    }
}

void job_record_reader::begin_results(const job_id& job)
{
    const std::size_t first = this->results.at(job).front().after;
    const std::string after =
        first == 0 ? std::string() : job_output_key(job, first - 1);
    this->admission.request(
        bytes_per_read,
        {[this, job, first, after](const read_admission::claim& room)
         {
             this->context.store.list_page(
                 job_output_prefix(job), after,
                 key_value::read_freshness::latest,
                 [this, job, first,
                  room](const result<key_value::record_listing>& listing)
                 { this->handle_results(job, first, listing, room); });
         },
         [this, job](duration retry_after)
         {
             const results_queue refused =
                 std::move(this->results.extract(job).mapped());
             for (const results_request& request : refused)
             {
                 request.callback(too_many_reads(retry_after), nullptr);
             }
         }});
}

void job_record_reader::handle_results(
    const job_id& job, std::size_t first,
    const result<key_value::record_listing>& listing,
    const read_admission::claim& room)
{
    results_queue waiting = std::exchange(this->results.at(job), {});
    std::vector<jobs::job_result> decoded;
    if (listing.has_value())
    {
        decoded = decode_results(job, first, listing.value().records);
    }
    if (decoded.empty())
    {
        // The job's state has a result there, so this is not the end.
        waiting.front().callback(read_failed(job), nullptr);
        waiting.pop_front();
        this->go_on_with_results(job, std::move(waiting));
        return;
    }
    const auto is_answered = [first, &decoded](const results_request& request)
    {
        return request.after >= first && request.after < first + decoded.size();
    };
    // Together the pages are not much larger than what was read, so that its
    // room is enough for them.
    const std::size_t max_bytes =
        jobs::max_page_bytes /
        static_cast<std::size_t>(
            std::count_if(waiting.begin(), waiting.end(), is_answered));
    results_queue left;
    for (results_request& request : waiting)
    {
        if (!is_answered(request))
        {
            left.push_back(std::move(request));
            continue;
        }
        jobs::page_builder page(request.total, max_bytes);
        std::size_t next = request.after - first;
        while (next < decoded.size() && page.add(decoded[next]))
        {
            ++next;
        }
        request.callback(page.finish(), room);
    }
    this->go_on_with_results(job, std::move(left));
}

void job_record_reader::go_on_with_results(const job_id& job,
                                           results_queue left)
{
    const time_point limit = net::event_loop::now() - max_wait;
    results_queue& waiting = this->results.at(job);
    // A request that came meanwhile has begun the next read.
    const bool is_begun = !waiting.empty();
    for (results_request& request : left)
    {
        if (request.since < limit)
        {
            request.callback(too_many_reads(read_admission::min_retry_after),
                             nullptr);
            continue;
        }
        waiting.push_back(std::move(request));
    }
    if (waiting.empty())
    {
        this->results.erase(job);
        return;
    }
    if (!is_begun)
    {
        this->begin_results(job);
    }
}

void job_record_reader::read_body(const job_id& job, const std::string& item,
                                  body_callback callback)
{
    body_queue& waiting = this->bodies[job];
    waiting.push_back(
        body_request{item, std::move(callback), net::event_loop::now()});
    if (waiting.size() > 1)
    {
        return;
    }
    this->admission.request(
        bytes_per_read,
        {[this, job](const read_admission::claim& room) {
             this->begin_bodies(job, key_value::read_freshness::may_be_stale,
                                room);
         },
         [this, job](duration retry_after)
         {
             this->answer_bodies(
                 job, [retry_after](const body_request& request)
                 { request.callback(too_many_reads(retry_after), nullptr); });
         }});
}

void job_record_reader::begin_bodies(const job_id& job,
                                     key_value::read_freshness freshness,
                                     const read_admission::claim& room)
{
    this->context.store.get(
        job_input_key(job), freshness,
        [this, job, freshness,
         room](const result<key_value::stored_record>& record)
        { this->handle_bodies(job, freshness, record, room); });
}

void job_record_reader::handle_bodies(
    const job_id& job, key_value::read_freshness freshness,
    const result<key_value::stored_record>& record,
    const read_admission::claim& room)
{
    if (record.has_value() && !record.value().exists() &&
        freshness != key_value::read_freshness::latest)
    {
        this->begin_bodies(job, key_value::read_freshness::latest, room);
        return;
    }
    std::map<std::string, std::string> found;
    std::optional<error> problem;
    if (record.has_error())
    {
        problem = record.error();
        problem->ran = ran_state::no;
        problem->code = error_code::store_unavailable;
    }
    else if (record.value().exists())
    {
        auto input = jobs::decode_input(record.value().value);
        if (input.has_error())
        {
            problem = input.error();
        }
        else
        {
            for (jobs::job_item& item : input.value().items)
            {
                found[item.id] = std::move(item.body);
            }
        }
    }
    this->answer_bodies(job,
                        [&found, &problem, &room](const body_request& request)
                        {
                            const auto body = found.find(request.item);
                            if (body != found.end())
                            {
                                request.callback(body->second, room);
                                return;
                            }
                            request.callback(problem.value_or(item_not_found()),
                                             nullptr);
                        });
}

void job_record_reader::answer_bodies(
    const job_id& job, const std::function<void(const body_request&)>& answer)
{
    const body_queue waiting = std::move(this->bodies.extract(job).mapped());
    for (const body_request& request : waiting)
    {
        answer(request);
    }
}

} // namespace parsleytrack::relay
