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

/// Reads the fields of one JSON object and collects what is wrong with them.
/// A field that was never asked for is a finding as well.
class object_reader
{
public:
    /// \param value The object; a finding when it is something else.
    /// \param pointer Its JSON pointer.
    /// \param problems Where findings are added.
    object_reader(const nlohmann::json& value, std::string pointer,
                  findings& problems);

    /// Reads a text field.
    ///
    /// \returns The text; a finding and an empty text when it is missing.
    std::string required_text(const char* field);

    /// \returns The text, or an empty one when the field is missing.
    std::string optional_text(const char* field);

    /// Reads a whole number.
    ///
    /// \param fallback The value of a missing field.
    /// \param min_value The least value allowed.
    /// \param max_value The greatest value allowed.
    std::int64_t integer(const char* field, std::int64_t fallback,
                         std::int64_t min_value, std::int64_t max_value);

    /// Reads a number.
    double number(const char* field, double fallback, double min_value,
                  double max_value);

    /// Reads a time in seconds.
    duration seconds(const char* field, duration fallback, duration min_value,
                     duration max_value);

    /// Reads true or false.
    bool flag(const char* field, bool fallback);

    /// Reads a text that must be one of a few.
    ///
    /// \returns The position among the choices; fallback when missing.
    std::size_t choice(const char* field, const std::vector<std::string>& names,
                       std::size_t fallback);

    /// Reads a list of "IP:PORT".
    std::vector<endpoint> endpoints(const char* field);

    /// Reads an object within this one. A missing one counts as empty.
    void object(const char* field,
                const std::function<void(object_reader&)>& read);

    /// Reads each object of a list. A missing list counts as empty.
    void each(const char* field,
              const std::function<void(object_reader&)>& read);

    /// Adds a finding about a field of this object.
    void report(std::string_view field, std::string message);

    /// Adds a finding for each field that nobody asked for.
    void report_unknown_fields();

    /// \returns The JSON pointer of this object.
    const std::string& pointer() const { return this->location; }

private:
    const nlohmann::json* find(const char* field);

    const nlohmann::json& contents;
    std::string location;
    findings& problems;
    std::set<std::string> requested_fields;
};

} // namespace parsleytrack::settings::detail
