#pragma once

namespace parsleytrack::settings
{

/// What kind of backend server runs a service.
enum class service_kind
{
    /// A model inference engine.
    engine,
    /// Any other HTTP service.
    plain
};

} // namespace parsleytrack::settings
