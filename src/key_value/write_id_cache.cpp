#include "key_value/write_id_cache.hpp"

#include <utility>

namespace parsleytrack::key_value
{

void write_id_cache::remember(const std::string& key, store_revision revision,
                              std::vector<std::string> write_ids)
{
    const auto [found, is_new] = this->entries.try_emplace(key);
    if (!is_new && found->second.revision >= revision)
    {
        return;
    }
    found->second.revision = revision;
    found->second.write_ids = std::move(write_ids);
    if (!is_new)
    {
        return;
    }
    this->insertion_order.push_back(key);
    if (this->insertion_order.size() > this->key_limit)
    {
        this->entries.erase(this->insertion_order.front());
        this->insertion_order.pop_front();
    }
}

const std::vector<std::string>*
write_id_cache::find(const std::string& key, store_revision revision) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.revision != revision)
    {
        return nullptr;
    }
    return &found->second.write_ids;
}

} // namespace parsleytrack::key_value
