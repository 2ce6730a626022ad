#include "daemon/release_submission.hpp"

#include "daemon/release_keys.hpp"
#include "decisions/release_record_codec.hpp"

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

// A lost race is decided anew; the expected version then says who has won.
constexpr int most_rounds = 4;
constexpr duration archive_lifetime = std::chrono::hours(24 * 30);
// The store holds values up to a megabyte.
constexpr std::size_t longest_record = 900'000;
constexpr duration retry_after = std::chrono::seconds(2);

std::set<service_name> model_services(const settings::node_settings& settings)
{
    std::set<service_name> services;
    for (const settings::service_settings& service : settings.services)
    {
        if (service.kind == settings::service_kind::engine)
        {
            services.insert(service.name);
        }
    }
    return services;
}

bool remembers(const release_record& record, const note_id& id)
{
    return std::any_of(record.recent.begin(), record.recent.end(),
                       [&id](const accepted_note& note)
                       { return note.id == id; });
}

} // namespace

release_submission::release_submission(node_context& node, release_note what,
                                       release_version version, callback on_end)
    : context(node), note(std::move(what)), expected(version),
      end_callback(std::move(on_end)), services(model_services(node.settings))
{
}

void release_submission::start()
{
    this->read_current();
}

void release_submission::read_current()
{
    ++this->rounds;
    this->context.store.get(
        current_release_key,
        [self = this->shared_from_this()](
            const result<std::optional<key_value::versioned_value>>& end)
        {
            if (end.has_error())
            {
                self->fail(end.error());
                return;
            }
            self->read_archived(end.value());
        });
}

void release_submission::read_archived(
    const std::optional<key_value::versioned_value>& value)
{
    this->current = release_record();
    this->revision = store_revision();
    if (value)
    {
        auto record = decode_release_record(value->value);
        if (!record)
        {
            this->fail(error{error_code::corrupt_data,
                             "the store's record of the release cannot be read",
                             ran_state::no,
                             {}});
            return;
        }
        this->current = std::move(*record);
        this->revision = value->revision;
    }
    // A note is archived before the record drops it, so a note that the record
    // does not have was archived before the record was read.
    const bool may_be_archived =
        this->current.recent.size() >= release_ledger::most_recent_notes;
    if (!may_be_archived || remembers(this->current, this->note.id))
    {
        this->decide(std::nullopt);
        return;
    }
    this->context.store.get(
        archived_note_prefix + this->note.id.str(),
        [self = this->shared_from_this()](
            const result<std::optional<key_value::versioned_value>>& end)
        {
            if (end.has_error())
            {
                self->fail(end.error());
                return;
            }
            self->decide(end.value() ? decode_accepted_note(end.value()->value)
                                     : std::nullopt);
        });
}

void release_submission::decide(const std::optional<accepted_note>& archived)
{
    auto outcome = release_ledger::decide(this->current, archived, this->note,
                                          this->expected, this->services);
    const auto* accepted = std::get_if<release_ledger::acceptance>(&outcome);
    if (accepted == nullptr)
    {
        this->end_callback(std::move(outcome));
        return;
    }
    if (encode_release_record(accepted->next).size() > longest_record)
    {
        this->end_callback(release_ledger::outcome(
            findings{{"", "the catalogue would be larger than the store's "
                          "limit of a megabyte"}}));
        return;
    }
    if (accepted->to_archive)
    {
        this->archive(*accepted);
        return;
    }
    this->write(*accepted);
}

void release_submission::archive(const release_ledger::acceptance& accepted)
{
    this->context.store.grant_lease(
        archive_lifetime,
        [self = this->shared_from_this(),
         accepted](const result<key_value::store_lease>& lease)
        {
            if (lease.has_error())
            {
                self->fail(lease.error());
                return;
            }
            self->write_archived(accepted, lease.value());
        });
}

void release_submission::write_archived(
    const release_ledger::acceptance& accepted, key_value::store_lease lease)
{
    this->context.store.compare_and_swap(
        archived_note_prefix + accepted.to_archive->id.str(), store_revision(),
        encode_accepted_note(*accepted.to_archive), lease,
        [self = this->shared_from_this(),
         accepted](const result<key_value::swap_outcome>& end)
        {
            if (end.has_error())
            {
                // Nothing of the note itself has been written.
                error reason = end.error();
                reason.code = error_code::store_unavailable;
                self->fail(std::move(reason));
                return;
            }
            // When it was there already, an earlier attempt wrote the same.
            self->write(accepted);
        });
}

void release_submission::write(const release_ledger::acceptance& accepted)
{
    this->context.store.compare_and_swap(
        current_release_key, this->revision,
        encode_release_record(accepted.next), key_value::store_lease(),
        [self = this->shared_from_this(),
         accepted](const result<key_value::swap_outcome>& end)
        { self->handle_write(accepted, end); });
}

void release_submission::handle_write(
    const release_ledger::acceptance& accepted,
    const result<key_value::swap_outcome>& end)
{
    if (end.has_error())
    {
        this->fail(end.error());
        return;
    }
    if (end.value().applied)
    {
        this->end_callback(release_ledger::outcome(accepted));
        return;
    }
    this->context.metrics.count("parsleytrack_store_retries_total",
                                {{"reason", "release_race"}});
    if (this->rounds >= most_rounds)
    {
        this->fail(error{error_code::conflict,
                         "other notes are being accepted at the same time",
                         ran_state::no, retry_after});
        return;
    }
    this->read_current();
}

void release_submission::fail(error reason)
{
    if (reason.code == error_code::store_outcome_unknown)
    {
        reason.ran = ran_state::unknown;
        reason.message = "the note may have been accepted; send it again with "
                         "the same note_id";
    }
    if (reason.code != error_code::corrupt_data && !reason.retry_after)
    {
        reason.retry_after = retry_after;
    }
    this->end_callback(std::move(reason));
}

} // namespace parsleytrack
