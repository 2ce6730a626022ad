#include "decisions/release_application.hpp"

#include "units/invariant.hpp"

#include <utility>

namespace parsleytrack
{

namespace
{

using entry = release_note::entry;

class note_application
{
public:
    note_application(const catalogue& base, const std::set<service_name>& known)
        : next(base), services(known)
    {
    }

    std::variant<catalogue, findings> run(const release_note& note)
    {
        this->check_repeated(note);
        this->run_list(note.withdrawn, &note_application::withdraw_model,
                       &note_application::withdraw_adapter);
        this->run_list(note.changed, &note_application::change_model,
                       &note_application::change_adapter);
        this->run_list(note.added, &note_application::add_model,
                       &note_application::add_adapter);
        this->check_adapters();
        if (!this->problems.empty())
        {
            return this->problems;
        }
        this->next.version = this->next.version.next();
        this->next.note = note.id;
        return this->next;
    }

private:
    using step = void (note_application::*)(const entry&);

    void run_list(const std::vector<entry>& entries, step model, step adapter)
    {
        for (const entry& one : entries)
        {
            const bool is_model = one.what == release_note::kind::model;
            (this->*(is_model ? model : adapter))(one);
            this->places[{is_model, one.name}] = one.place;
        }
    }

    void report(const entry& one, const char* field, std::string message)
    {
        this->problems.push_back({one.place + field, std::move(message)});
    }

    void check_repeated(const release_note& note)
    {
        std::set<std::string> seen;
        int list_number = 0;
        for (const auto* list : {&note.withdrawn, &note.changed, &note.added})
        {
            ++list_number;
            for (const entry& one : *list)
            {
                const bool is_model = one.what == release_note::kind::model;
                const std::string key = std::to_string(list_number) +
                                        (is_model ? "m\n" : "a\n") + one.name +
                                        "\n" + (is_model ? one.version : "");
                if (!seen.insert(key).second)
                {
                    this->report(one, "", "the note names this twice");
                }
            }
        }
    }

    void check_service(const entry& one)
    {
        if (!this->services.empty() &&
            !this->services.contains(service_name(one.owner)))
        {
            this->report(one, "/service",
                         "no model service has the name " + one.owner);
        }
    }

    void add_model(const entry& one)
    {
        this->check_service(one);
        if (this->next.adapters.contains(one.name))
        {
            this->report(one, "/name", "an adapter has this name");
            return;
        }
        catalogue::model& model = this->next.models[model_name(one.name)];
        const service_name service(one.owner);
        if (!model.versions.empty() && model.service != service)
        {
            this->report(one, "/service",
                         "the model is served by " + model.service.str());
            return;
        }
        model.service = service;
        if (!model.versions.insert(one.version).second)
        {
            this->report(one, "/version", "this version is in force already");
        }
    }

    void change_model(const entry& one)
    {
        this->check_service(one);
        const auto found = this->next.models.find(model_name(one.name));
        if (found == this->next.models.end())
        {
            this->report(one, "/name", "no model of this name is in force");
            return;
        }
        found->second.service = service_name(one.owner);
        found->second.versions = {one.version};
    }

    void withdraw_model(const entry& one)
    {
        const auto found = this->next.models.find(model_name(one.name));
        if (found == this->next.models.end())
        {
            this->report(one, "/name", "no model of this name is in force");
            return;
        }
        catalogue::model& model = found->second;
        if (!one.owner.empty() && model.service != service_name(one.owner))
        {
            this->report(one, "/service",
                         "the model is served by " + model.service.str());
        }
        if (one.version.empty())
        {
            model.versions.clear();
        }
        else if (model.versions.erase(one.version) == 0)
        {
            this->report(one, "/version", "this version is not in force");
        }
        if (model.versions.empty())
        {
            this->next.models.erase(found);
        }
    }

    void add_adapter(const entry& one)
    {
        if (this->next.models.contains(model_name(one.name)))
        {
            this->report(one, "/name", "a model has this name");
            return;
        }
        const bool is_new =
            this->next.adapters
                .try_emplace(one.name, model_name(one.owner), one.version)
                .second;
        if (!is_new)
        {
            this->report(one, "/name",
                         "an adapter of this name is in force already");
        }
    }

    void change_adapter(const entry& one)
    {
        const auto found = this->next.adapters.find(one.name);
        if (found == this->next.adapters.end())
        {
            this->report(one, "/name", "no adapter of this name is in force");
            return;
        }
        found->second = {model_name(one.owner), one.version};
    }

    void withdraw_adapter(const entry& one)
    {
        const auto found = this->next.adapters.find(one.name);
        if (found == this->next.adapters.end())
        {
            this->report(one, "/name", "no adapter of this name is in force");
            return;
        }
        if (!one.version.empty() && found->second.second != one.version)
        {
            this->report(one, "/version",
                         "version " + found->second.second + " is in force");
        }
        if (!one.owner.empty() && found->second.first.str() != one.owner)
        {
            this->report(one, "/model",
                         "it belongs to model " + found->second.first.str());
        }
        this->next.adapters.erase(found);
    }

    void check_adapters()
    {
        for (const auto& [name, adapter] : this->next.adapters)
        {
            if (this->next.models.contains(adapter.first))
            {
                continue;
            }
            const auto own = this->places.find({false, name});
            const auto models = this->places.find({true, adapter.first.str()});
            const std::string place =
                own != this->places.end()      ? own->second + "/model"
                : models != this->places.end() ? models->second
                                               : std::string();
            this->problems.push_back(
                {place, "the adapter " + name + " needs the model " +
                            adapter.first.str() + ", which is not in force"});
        }
    }

    catalogue next;
    const std::set<service_name>& services;
    findings problems;
    /// Place of the entry that last named a model (true) or adapter (false).
    std::map<std::pair<bool, std::string>, std::string> places;
};

std::string describe(const catalogue::model& model)
{
    std::string text = model.service.str() + ":";
    for (const std::string& version : model.versions)
    {
        text += " " + version;
    }
    return text;
}

std::string describe(const std::pair<model_name, std::string>& adapter)
{
    return adapter.first.str() + ": " + adapter.second;
}

template <class Name>
std::string name_text(const Name& name)
{
    return name.str();
}

std::string name_text(const std::string& name)
{
    return name;
}

template <class Entries>
void compare(const char* what, const Entries& before, const Entries& after,
             std::vector<std::string>& lines)
{
    for (const auto& [name, value] : before)
    {
        const auto found = after.find(name);
        const std::string subject = std::string(what) + " " + name_text(name);
        if (found == after.end())
        {
            lines.push_back("withdrawn " + subject);
        }
        else if (!(found->second == value))
        {
            lines.push_back("changed " + subject + " from " + describe(value) +
                            " to " + describe(found->second));
        }
    }
    for (const auto& [name, value] : after)
    {
        if (!before.contains(name))
        {
            lines.push_back(std::string("added ") + what + " " +
                            name_text(name) + " " + describe(value));
        }
    }
}

} // namespace

std::variant<catalogue, findings>
apply_release_note(const catalogue& base, const release_note& note,
                   const std::set<service_name>& services)
{
    auto outcome = note_application(base, services).run(note);
    if (const auto* next = std::get_if<catalogue>(&outcome))
    {
        for (const auto& [name, adapter] : next->adapters)
        {
            check_invariant(next->models.contains(adapter.first),
                            "each adapter's model is in force");
            check_invariant(!next->models.contains(model_name(name)),
                            "no adapter has the name of a model");
        }
    }
    return outcome;
}

std::vector<std::string> differences(const catalogue& before,
                                     const catalogue& after)
{
    std::vector<std::string> lines;
    compare("model", before.models, after.models, lines);
    compare("adapter", before.adapters, after.adapters, lines);
    return lines;
}

} // namespace parsleytrack
