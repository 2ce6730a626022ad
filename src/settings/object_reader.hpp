#pragma once

#include "units/endpoint.hpp"
#include "units/finding.hpp"
#include "units/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleytrack::settings::detail
{

/// Reads the fields of one JSON object and collects findings about them. A
/// field that no read function has requested is a finding as well.
class object_reader
{
public:
    /// \param value The object; any other JSON type is a finding.
    /// \param pointer Location of the object: the document's name, followed by
    /// a JSON pointer.
    /// \param problems Receives the findings.
    object_reader(const nlohmann::json& value, std::string pointer,
                  findings& problems);

    /// Reads a string; a missing or empty one is a finding.
    ///
    /// \returns The string; empty after a finding.
    std::string required_text(const char* field);

    /// \returns The string; empty when the field is missing.
    std::string optional_text(const char* field);

    /// Reads an integer. A value of another type or out of range is a finding.
    ///
    /// \param fallback Returned for a missing or invalid field.
    /// \param min_value Lower bound, inclusive.
    /// \param max_value Upper bound, inclusive.
    std::int64_t integer(const char* field, std::int64_t fallback,
                         std::int64_t min_value, std::int64_t max_value);

    /// As integer(), for a number that may have a fraction.
    double number(const char* field, double fallback, double min_value,
                  double max_value);

    /// As number(), for a duration given in seconds.
    duration seconds(const char* field, duration fallback, duration min_value,
                     duration max_value);

    /// Reads a boolean.
    ///
    /// \param fallback Returned for a missing or invalid field.
    bool flag(const char* field, bool fallback);

    /// Reads a string that must be one of `names`.
    ///
    /// \returns Its index in `names`; fallback when the field is missing, empty
    /// or invalid.
    std::size_t choice(const char* field, const std::vector<std::string>& names,
                       std::size_t fallback);

    /// Reads a list of "IP:PORT"; a missing list counts as empty.
    std::vector<endpoint> endpoints(const char* field);

    /// Reads a nested object. A missing one counts as empty.
    void object(const char* field,
                const std::function<void(object_reader&)>& read);

    /// Reads each object of a list. A missing list counts as empty.
    void each(const char* field,
              const std::function<void(object_reader&)>& read);

    /// Adds a finding about a field of this object, or about the object itself
    /// when `field` is empty.
    void report(std::string_view field, std::string message);

    /// Adds a finding for each field that no read function has requested.
    void report_unknown_fields();

    /// \returns The location of this object, as passed to the constructor.
    const std::string& pointer() const { return this->location; }

private:
    const nlohmann::json* find(const char* field);

    const nlohmann::json& contents;
    std::string location;
    findings& problems;
    std::set<std::string> requested_fields;
};

} // namespace parsleytrack::settings::detail
