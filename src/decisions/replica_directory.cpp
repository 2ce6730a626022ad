#include "decisions/replica_directory.hpp"

#include "units/invariant.hpp"

#include <utility>

namespace parsleytrack
{

void replica_directory::set_static(const std::vector<replica_info>& replicas)
{
    this->static_replicas.clear();
    for (const replica_info& replica : replicas)
    {
        this->static_replicas[replica.id] = replica;
    }
}

void replica_directory::set_list(replica_list list)
{
    for (const auto& [id, replica] : list.replicas)
    {
        const auto old = this->listed.replicas.find(id);
        const bool moved = old != this->listed.replicas.end() &&
                           old->second.address != replica.address;
        if (moved)
        {
            // Another process under the same name; the words were of the old.
            this->reported.erase(id);
            this->heard.erase(id);
        }
    }
    this->listed = std::move(list);
    this->forget_unlisted_words();
}

void replica_directory::report_leaving(const replica_id& replica,
                                       time_point now)
{
    this->reported[replica] = now;
}

void replica_directory::report_live(const replica_id& replica,
                                    time_point asked_at)
{
    const auto found = this->reported.find(replica);
    if (found != this->reported.end() && found->second < asked_at)
    {
        this->reported.erase(found);
    }
}

void replica_directory::hear_leaving(const std::set<replica_id>& replicas,
                                     time_point now)
{
    for (const replica_id& replica : replicas)
    {
        this->heard[replica] = now;
    }
}

std::set<replica_id> replica_directory::own_words(time_point now) const
{
    std::set<replica_id> current;
    for (const auto& [replica, when] : this->reported)
    {
        if (counts(this->reported, replica, now))
        {
            current.insert(replica);
        }
    }
    return current;
}

std::vector<replica_info> replica_directory::joined(time_point now) const
{
    std::map<replica_id, replica_info> all = this->listed.replicas;
    all.insert(this->static_replicas.begin(), this->static_replicas.end());
    std::vector<replica_info> result;
    for (auto& [id, replica] : all)
    {
        if (counts(this->reported, id, now) || counts(this->heard, id, now))
        {
            replica.state = replica_state::leaving;
        }
        const auto in_list = this->listed.replicas.find(id);
        check_invariant(in_list == this->listed.replicas.end() ||
                            in_list->second.state == replica_state::live ||
                            replica.state == replica_state::leaving,
                        "a word of leaving is never overruled");
        result.push_back(std::move(replica));
    }
    return result;
}

bool replica_directory::counts(const words& known, const replica_id& replica,
                               time_point now)
{
    const auto found = known.find(replica);
    return found != known.end() && now - found->second < word_lifetime;
}

void replica_directory::forget_unlisted_words()
{
    const auto unlisted = [this](const auto& word)
    {
        return !this->listed.replicas.contains(word.first) &&
               !this->static_replicas.contains(word.first);
    };
    std::erase_if(this->reported, unlisted);
    std::erase_if(this->heard, unlisted);
}

} // namespace parsleytrack
