#include "decisions/release_note_parser.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace parsleytrack
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t longest_name = 200;
constexpr std::size_t most_entries = 10'000;
constexpr std::size_t most_findings = 200;

// Escapes a member's name for a JSON pointer.
std::string escape(const std::string& name)
{
    std::string escaped;
    for (const char letter : name)
    {
        if (letter == '~')
        {
            escaped += "~0";
        }
        else if (letter == '/')
        {
            escaped += "~1";
        }
        else
        {
            escaped += letter;
        }
    }
    return escaped;
}

bool is_control(char letter)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(letter);
    return code < first_printable || code == delete_character;
}

class note_reader
{
public:
    explicit note_reader(findings& problems) : found(problems) {}

    release_note read(const json& document)
    {
        release_note note;
        if (!document.is_object())
        {
            this->report("", "a release note is a JSON object");
            return note;
        }
        this->check_members(document, "",
                            {"note_id", "added", "changed", "withdrawn"});
        note.id =
            note_id(this->read_text(document, "note_id", "/note_id", true));
        note.added = this->read_list(document, "added");
        note.changed = this->read_list(document, "changed");
        note.withdrawn = this->read_list(document, "withdrawn");
        const bool says_nothing = note.added.empty() && note.changed.empty() &&
                                  note.withdrawn.empty();
        if (says_nothing && this->found.empty())
        {
            this->report("", "the note adds, changes and withdraws nothing");
        }
        return note;
    }

private:
    void report(const std::string& place, const std::string& message)
    {
        if (this->found.size() < most_findings)
        {
            this->found.push_back({place, message});
        }
    }

    void check_members(const json& object, const std::string& place,
                       const std::vector<std::string>& allowed)
    {
        for (const auto& member : object.items())
        {
            if (std::find(allowed.begin(), allowed.end(), member.key()) ==
                allowed.end())
            {
                this->report(place + "/" + escape(member.key()),
                             "this field is not known here");
            }
        }
    }

    std::string read_text(const json& object, const char* name,
                          const std::string& place, bool required)
    {
        const auto member = object.find(name);
        if (member == object.end())
        {
            if (required)
            {
                this->report(place, "this field is missing");
            }
            return std::string();
        }
        if (!member->is_string())
        {
            this->report(place, "this is to be a string");
            return std::string();
        }
        std::string text = member->get<std::string>();
        const bool bad = text.empty() || text.size() > longest_name ||
                         std::any_of(text.begin(), text.end(), is_control);
        if (bad)
        {
            this->report(place, "this is to have 1 to 200 bytes and no "
                                "control characters");
        }
        return text;
    }

    std::vector<release_note::entry> read_list(const json& document,
                                               const char* name)
    {
        std::vector<release_note::entry> entries;
        const std::string place = std::string("/") + name;
        const auto list = document.find(name);
        if (list == document.end())
        {
            return entries;
        }
        if (!list->is_array() || list->size() > most_entries)
        {
            this->report(place, "this is to be a list of at most 10000 "
                                "entries");
            return entries;
        }
        const bool withdrawn = std::string_view(name) == "withdrawn";
        for (std::size_t index = 0; index < list->size(); ++index)
        {
            const std::string entry_place = place + "/" + std::to_string(index);
            entries.push_back(
                this->read_entry((*list)[index], entry_place, withdrawn));
        }
        return entries;
    }

    release_note::entry read_entry(const json& object, const std::string& place,
                                   bool withdrawn)
    {
        release_note::entry entry;
        entry.place = place;
        if (!object.is_object())
        {
            this->report(place, "an entry is a JSON object");
            return entry;
        }
        const std::string kind =
            this->read_text(object, "kind", place + "/kind", true);
        if (!kind.empty() && kind != "model" && kind != "adapter")
        {
            this->report(place + "/kind", R"(this is to be "model" or )"
                                          R"("adapter")");
        }
        const bool adapter = kind == "adapter";
        entry.what =
            adapter ? release_note::kind::adapter : release_note::kind::model;
        const char* owner = adapter ? "model" : "service";
        this->check_members(object, place, {"kind", "name", "version", owner});
        entry.name = this->read_text(object, "name", place + "/name", true);
        entry.version =
            this->read_text(object, "version", place + "/version", !withdrawn);
        entry.owner =
            this->read_text(object, owner, place + "/" + owner, !withdrawn);
        return entry;
    }

    findings& found;
};

} // namespace

std::variant<release_note, findings> parse_release_note(std::string_view text)
{
    findings problems;
    json document;
    try
    {
        document = json::parse(text);
    }
    catch (const json::exception&)
    {
        return findings{{"", "the release note is not valid JSON"}};
    }
    release_note note = note_reader(problems).read(document);
    if (!problems.empty())
    {
        return problems;
    }
    return note;
}

} // namespace parsleytrack
