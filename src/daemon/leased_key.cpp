#include "daemon/leased_key.hpp"

#include <utility>

namespace parsleytrack
{

leased_key::leased_key(node_context& node, std::string key,
                       duration time_to_live)
    : context(node), name(std::move(key)), lifetime(time_to_live)
{
}

leased_key::~leased_key()
{
    this->release();
}

std::optional<time_point> leased_key::valid_until() const
{
    return this->state == phase::held ? this->until : std::nullopt;
}

void leased_key::take()
{
    if (this->state != phase::idle)
    {
        return;
    }
    this->state = phase::busy;
    // Reads first, since most tries find that another holds the key.
    this->context.store.get(
        this->name,
        [this, observed = std::weak_ptr<bool>(this->alive)](
            const result<std::optional<key_value::versioned_value>>& end)
        {
            if (!observed.lock())
            {
                return;
            }
            this->other_holds = end.has_value() && end.value().has_value();
            if (end.has_error() || this->other_holds)
            {
                this->state = phase::idle;
                return;
            }
            this->grant();
        });
}

void leased_key::take_absent()
{
    if (this->state == phase::idle)
    {
        this->grant();
    }
}

void leased_key::grant()
{
    this->state = phase::busy;
    this->asked_at = net::event_loop::now();
    this->context.store.grant_lease(
        this->lifetime,
        [this, observed = std::weak_ptr<bool>(this->alive)](
            const result<key_value::store_lease>& granted)
        {
            if (!observed.lock())
            {
                return;
            }
            if (granted.has_error())
            {
                this->state = phase::idle;
                return;
            }
            this->create(granted.value());
        });
}

void leased_key::create(key_value::store_lease granted)
{
    this->context.store.compare_and_swap(
        this->name, store_revision(), this->context.settings.id.str(), granted,
        [this, granted, observed = std::weak_ptr<bool>(this->alive)](
            const result<key_value::swap_outcome>& end)
        {
            // Without its owner the lease is left to lapse.
            if (observed.lock())
            {
                this->handle_create(granted, end);
            }
        });
}

void leased_key::handle_create(key_value::store_lease granted,
                               const result<key_value::swap_outcome>& end)
{
    if (end.has_error() || !end.value().applied)
    {
        this->state = phase::idle;
        this->other_holds = end.has_value();
        this->revoke(granted);
        return;
    }
    this->lease = granted;
    this->since = net::event_loop::now();
    this->until = this->asked_at + this->lifetime;
    this->state = phase::held;
    this->other_holds = false;
}

void leased_key::renew()
{
    if (this->state != phase::held || this->renewing)
    {
        return;
    }
    this->renewing = true;
    const time_point begun = net::event_loop::now();
    this->context.store.keep_alive(
        this->lease,
        [this, begun, observed = std::weak_ptr<bool>(this->alive)](
            const result<key_value::store_lease>& end)
        {
            if (!observed.lock())
            {
                return;
            }
            this->renewing = false;
            if (end.has_value() && this->state == phase::held)
            {
                this->asked_at = begun;
                this->until = begun + this->lifetime;
                return;
            }
            const bool lost =
                end.has_error() && end.error().code == error_code::lease_lost;
            if (lost && this->state == phase::held)
            {
                this->state = phase::idle;
            }
        });
}

void leased_key::release()
{
    if (this->state == phase::held)
    {
        this->revoke(this->lease);
        this->state = phase::idle;
    }
}

void leased_key::revoke(key_value::store_lease granted)
{
    this->context.store.revoke(granted,
                               [](const result<key_value::store_lease>&) {});
}

} // namespace parsleytrack
