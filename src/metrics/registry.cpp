#include "metrics/registry.hpp"

#include "metrics/latency_histogram.hpp"

#include <sstream>

namespace parsleytrack::metrics
{

namespace
{

/// The values of one metric, by formatted labels.
template <class Value>
using family = std::map<std::string, Value>;

template <class Value>
using family_map = std::map<std::string, family<Value>, std::less<>>;

void append_escaped(std::string& text, const std::string& value)
{
    for (const char character : value)
    {
        if (character == '\\' || character == '"')
        {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
}

/// \returns The labels in Prometheus' text format, without the braces.
std::string format_labels(const label_list& labels)
{
    std::string text;
    for (const auto& [name, value] : labels)
    {
        text += text.empty() ? "" : ",";
        text += name + "=\"";
        append_escaped(text, value);
        text += '"';
    }
    return text;
}

std::string in_braces(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

template <class Value>
Value& find_value(family_map<Value>& families, std::string_view name,
                  const label_list& labels)
{
    auto found = families.find(name);
    if (found == families.end())
    {
        found = families.emplace(std::string(name), family<Value>()).first;
    }
    return found->second[format_labels(labels)];
}

template <class Value>
void print_plain(std::ostream& out, const family_map<Value>& families,
                 const char* type)
{
    for (const auto& [name, values] : families)
    {
        out << "# TYPE " << name << ' ' << type << '\n';
        for (const auto& [labels, value] : values)
        {
            out << name << in_braces(labels) << ' ' << value << '\n';
        }
    }
}

void print_histogram(std::ostream& out, const std::string& name,
                     const std::string& labels, const latency_histogram& values)
{
    const std::string separator = labels.empty() ? "" : ",";
    for (const auto& [bound, count] : values.cumulative_buckets())
    {
        out << name << "_bucket{" << labels << separator << "le=\"" << bound
            << "\"} " << count << '\n';
    }
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} "
        << values.count() << '\n';
    out << name << "_sum" << in_braces(labels) << ' ' << values.sum_seconds()
        << '\n';
    out << name << "_count" << in_braces(labels) << ' ' << values.count()
        << '\n';
}

} // namespace

struct registry::state
{
    family_map<std::uint64_t> counters;
    family_map<double> gauges;
    family_map<latency_histogram> histograms;
};

registry::registry() : contents(std::make_unique<state>()) {}

registry::~registry() = default;

void registry::count(std::string_view name, const label_list& labels,
                     std::uint64_t amount)
{
    find_value(this->contents->counters, name, labels) += amount;
}

void registry::set_gauge(std::string_view name, const label_list& labels,
                         double value)
{
    find_value(this->contents->gauges, name, labels) = value;
}

void registry::clear_gauge(std::string_view name)
{
    const auto found = this->contents->gauges.find(name);
    if (found != this->contents->gauges.end())
    {
        this->contents->gauges.erase(found);
    }
}

void registry::observe(std::string_view name, const label_list& labels,
                       duration value)
{
    find_value(this->contents->histograms, name, labels).record(value);
}

std::uint64_t registry::counter_value(std::string_view name,
                                      const label_list& labels) const
{
    const auto found = this->contents->counters.find(name);
    if (found == this->contents->counters.end())
    {
        return 0;
    }
    const auto value = found->second.find(format_labels(labels));
    return value == found->second.end() ? 0 : value->second;
}

std::string registry::prometheus_text() const
{
    std::ostringstream out;
    print_plain(out, this->contents->counters, "counter");
    print_plain(out, this->contents->gauges, "gauge");
    for (const auto& [name, values] : this->contents->histograms)
    {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, histogram] : values)
        {
            print_histogram(out, name, labels, histogram);
        }
    }
    return out.str();
}

} // namespace parsleytrack::metrics
