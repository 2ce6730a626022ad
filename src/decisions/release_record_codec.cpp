#include "decisions/release_record_codec.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack
{

namespace
{

using json = nlohmann::json;

json write_catalogue(const catalogue& contents)
{
    json models = json::array();
    for (const auto& [name, model] : contents.models)
    {
        models.push_back({{"name", name.str()},
                          {"service", model.service.str()},
                          {"versions", model.versions}});
    }
    json adapters = json::array();
    for (const auto& [name, adapter] : contents.adapters)
    {
        adapters.push_back({{"name", name},
                            {"model", adapter.first.str()},
                            {"version", adapter.second}});
    }
    return {{"models", models}, {"adapters", adapters}};
}

json write_note(const accepted_note& note)
{
    return {{"note_id", note.id.str()},
            {"version", note.version.count()},
            {"digest", note.digest},
            {"changes", note.changes}};
}

accepted_note read_note(const json& object)
{
    accepted_note note;
    note.id = note_id(object.at("note_id").get<std::string>());
    note.version = release_version(object.at("version").get<std::int64_t>());
    note.digest = object.at("digest").get<std::uint64_t>();
    note.changes = object.at("changes").get<std::vector<std::string>>();
    return note;
}

release_record read_record(const json& object)
{
    release_record record;
    record.contents.version =
        release_version(object.at("version").get<std::int64_t>());
    record.contents.note = note_id(object.at("note_id").get<std::string>());
    const json& contents = object.at("catalogue");
    for (const json& entry : contents.at("models"))
    {
        catalogue::model& model =
            record.contents
                .models[model_name(entry.at("name").get<std::string>())];
        model.service = service_name(entry.at("service").get<std::string>());
        model.versions = entry.at("versions").get<std::set<std::string>>();
    }
    for (const json& entry : contents.at("adapters"))
    {
        record.contents.adapters[entry.at("name").get<std::string>()] = {
            model_name(entry.at("model").get<std::string>()),
            entry.at("version").get<std::string>()};
    }
    for (const json& entry : object.at("recent"))
    {
        record.recent.push_back(read_note(entry));
    }
    return record;
}

std::string dump(const json& object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Value, class Reader>
std::optional<Value> read(std::string_view text, Reader reader)
{
    try
    {
        return reader(json::parse(text));
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

json write_release(const catalogue& contents)
{
    return {{"version", contents.version.count()},
            {"note_id", contents.note.str()},
            {"catalogue", write_catalogue(contents)}};
}

} // namespace

std::string encode_release_record(const release_record& record)
{
    json object = write_release(record.contents);
    object["recent"] = json::array();
    for (const accepted_note& note : record.recent)
    {
        object["recent"].push_back(write_note(note));
    }
    return dump(object);
}

std::optional<release_record> decode_release_record(std::string_view text)
{
    return read<release_record>(text, read_record);
}

std::string encode_accepted_note(const accepted_note& note)
{
    return dump(write_note(note));
}

std::optional<accepted_note> decode_accepted_note(std::string_view text)
{
    return read<accepted_note>(text, read_note);
}

std::string describe_release(const catalogue& contents)
{
    return dump(write_release(contents));
}

} // namespace parsleytrack
