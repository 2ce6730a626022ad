#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace parsleytrack
{

/// A string identifier that does not convert to identifiers of other kinds.
///
/// \tparam Tag An empty type that names the kind.
template <class Tag>
class strong_id
{
public:
    strong_id() = default;

    /// \param text The identifier as written in settings and messages.
    explicit strong_id(std::string text) : text_value(std::move(text)) {}

    const std::string& str() const { return this->text_value; }

    bool empty() const { return this->text_value.empty(); }

    auto operator<=>(const strong_id&) const = default;

private:
    std::string text_value;
};

} // namespace parsleytrack

template <class Tag>
struct std::hash<parsleytrack::strong_id<Tag>>
{
    std::size_t operator()(const parsleytrack::strong_id<Tag>& id) const
    {
        return std::hash<std::string>()(id.str());
    }
};
