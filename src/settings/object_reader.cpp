#include "settings/object_reader.hpp"

#include "units/endpoint_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace parsleytrack::settings::detail
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t microseconds_per_second = 1'000'000;

std::string format_range(double min_value, double max_value)
{
    return "from " + json(min_value).dump() + " to " + json(max_value).dump();
}

} // namespace

object_reader::object_reader(const json& value, std::string pointer,
                             findings& collected)
    : contents(value), location(std::move(pointer)), problems(collected)
{
    if (!value.is_object())
    {
        this->problems.push_back({this->location, "must be an object"});
    }
}

const json* object_reader::find(const char* field)
{
    this->requested_fields.insert(field);
    if (!this->contents.is_object())
    {
        return nullptr;
    }
    const auto found = this->contents.find(field);
    return found == this->contents.end() ? nullptr : &*found;
}

void object_reader::report(std::string_view field, std::string message)
{
    std::string field_location = this->location;
    if (!field.empty())
    {
        field_location += '/';
        field_location += field;
    }
    this->problems.push_back({std::move(field_location), std::move(message)});
}

std::string object_reader::required_text(const char* field)
{
    const std::size_t before = this->problems.size();
    std::string text = this->optional_text(field);
    if (text.empty() && this->problems.size() == before)
    {
        this->report(field, "is missing; a string is required");
    }
    return text;
}

std::string object_reader::optional_text(const char* field)
{
    const json* value = this->find(field);
    if (value == nullptr)
    {
        return "";
    }
    if (!value->is_string())
    {
        this->report(field, "must be a string");
        return "";
    }
    return value->get<std::string>();
}

std::int64_t object_reader::integer(const char* field, std::int64_t fallback,
                                    std::int64_t min_value,
                                    std::int64_t max_value)
{
    const json* value = this->find(field);
    if (value == nullptr)
    {
        return fallback;
    }
    const bool valid = value->is_number_integer() &&
                       value->get<std::int64_t>() >= min_value &&
                       value->get<std::int64_t>() <= max_value;
    if (!valid)
    {
        this->report(field, "must be a whole number from " +
                                std::to_string(min_value) + " to " +
                                std::to_string(max_value));
        return fallback;
    }
    return value->get<std::int64_t>();
}

double object_reader::number(const char* field, double fallback,
                             double min_value, double max_value)
{
    const json* value = this->find(field);
    if (value == nullptr)
    {
        return fallback;
    }
    const bool valid = value->is_number() &&
                       value->get<double>() >= min_value &&
                       value->get<double>() <= max_value;
    if (!valid)
    {
        this->report(field,
                     "must be a number " + format_range(min_value, max_value));
        return fallback;
    }
    return value->get<double>();
}

duration object_reader::seconds(const char* field, duration fallback,
                                duration min_value, duration max_value)
{
    const auto to_number = [](duration span)
    {
        return static_cast<double>(span.count()) /
               static_cast<double>(microseconds_per_second);
    };
    const double value = this->number(
        field, to_number(fallback), to_number(min_value), to_number(max_value));
    return duration(static_cast<std::int64_t>(
        value * static_cast<double>(microseconds_per_second)));
}

bool object_reader::flag(const char* field, bool fallback)
{
    const json* value = this->find(field);
    if (value == nullptr)
    {
        return fallback;
    }
    if (!value->is_boolean())
    {
        this->report(field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::size_t object_reader::choice(const char* field,
                                  const std::vector<std::string>& names,
                                  std::size_t fallback)
{
    const std::size_t before = this->problems.size();
    const std::string text = this->optional_text(field);
    if (text.empty() || this->problems.size() != before)
    {
        return fallback;
    }
    const auto found = std::find(names.begin(), names.end(), text);
    if (found != names.end())
    {
        return static_cast<std::size_t>(found - names.begin());
    }
    std::string allowed;
    for (const std::string& name : names)
    {
        allowed += allowed.empty() ? "" : ", ";
        allowed += name;
    }
    this->report(field, "must be one of: " + allowed);
    return fallback;
}

std::vector<endpoint> object_reader::endpoints(const char* field)
{
    std::vector<endpoint> parsed;
    const json* value = this->find(field);
    if (value == nullptr)
    {
        return parsed;
    }
    if (!value->is_array())
    {
        this->report(field, "must be a list of \"IP:PORT\"");
        return parsed;
    }
    for (std::size_t index = 0; index < value->size(); ++index)
    {
        const json& element = (*value)[index];
        endpoint address;
        if (element.is_string() &&
            parse_endpoint(element.get<std::string>(), address))
        {
            parsed.push_back(address);
            continue;
        }
        this->report(std::string(field) + "/" + std::to_string(index),
                     "must be a string \"IP:PORT\"");
    }
    return parsed;
}

void object_reader::object(const char* field,
                           const std::function<void(object_reader&)>& read)
{
    const json* value = this->find(field);
    const json nothing = json::object();
    object_reader reader(value == nullptr ? nothing : *value,
                         this->location + "/" + field, this->problems);
    read(reader);
    reader.report_unknown_fields();
}

void object_reader::each(const char* field,
                         const std::function<void(object_reader&)>& read)
{
    const json* value = this->find(field);
    if (value == nullptr)
    {
        return;
    }
    if (!value->is_array())
    {
        this->report(field, "must be a list");
        return;
    }
    for (std::size_t index = 0; index < value->size(); ++index)
    {
        object_reader reader((*value)[index],
                             this->location + "/" + field + "/" +
                                 std::to_string(index),
                             this->problems);
        read(reader);
        reader.report_unknown_fields();
    }
}

void object_reader::report_unknown_fields()
{
    if (!this->contents.is_object())
    {
        return;
    }
    for (const auto& [field, value] : this->contents.items())
    {
        if (this->requested_fields.count(field) == 0)
        {
            this->report(field, "is not a known field");
        }
    }
}

} // namespace parsleytrack::settings::detail
