#pragma once

namespace parsleytrack
{

/// How urgent a piece of work is.
enum class work_class
{
    /// A caller is waiting; due within seconds.
    online,
    /// Part of a batch job; due within hours.
    batch
};

/// \returns The name in metric labels.
constexpr const char* to_string(work_class kind)
{
    return kind == work_class::online ? "online" : "batch";
}

} // namespace parsleytrack
