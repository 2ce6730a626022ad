#pragma once

#include <string>
#include <string_view>

namespace parsleytrack::workspaces
{

/// \param key A caller's key, which must not appear in logs.
/// \returns Eight hexadecimal digits that tell keys apart.
std::string key_digest(std::string_view key);

/// \returns Sixteen hexadecimal digits that stand for a workspace's name in
/// keys of the store, whose length is limited.
std::string name_digest(std::string_view name);

} // namespace parsleytrack::workspaces
