#include "daemon/batch_item_parser.hpp"

#include "settings/route_idempotency.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace parsleytrack
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_custom_id_bytes = 512;
constexpr std::size_t max_url_bytes = 2048;
constexpr const char* service_prefix = "/services/";

error refusal(error_code code, std::string message)
{
    return error{code, std::move(message), ran_state::no, {}};
}

const std::string* find_text(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string()
               ? found->get_ptr<const std::string*>()
               : nullptr;
}

bool is_completion_url(const std::string& url)
{
    return url == "/v1/chat/completions" || url == "/v1/completions";
}

bool is_printable(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char byte) { return byte > ' '; });
}

result<bool> read_completion(const json& body, const catalogue_view& catalogue,
                             wire::stored_item& item)
{
    const std::string* model = find_text(body, "model");
    if (model == nullptr || model->empty())
    {
        return refusal(error_code::bad_request,
                       "\"body\" needs \"model\", a text");
    }
    const service_name service = catalogue.service_of(*model);
    if (service.empty())
    {
        return refusal(error_code::unknown_model,
                       "model " + *model + " is not in force");
    }
    item.model = *model;
    item.service_name = service.str();
    return true;
}

result<bool> read_service_call(const std::string& url,
                               const settings::node_settings& node,
                               wire::stored_item& item)
{
    const std::string rest = url.substr(std::string(service_prefix).size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const auto found =
        std::find_if(node.services.begin(), node.services.end(),
                     [&name](const settings::service_settings& service)
                     {
                         return service.name.str() == name &&
                                service.kind == settings::service_kind::plain;
                     });
    if (found == node.services.end())
    {
        return refusal(error_code::unknown_service,
                       "there is no plain service " + name);
    }
    item.service_name = name;
    item.url = slash == std::string::npos ? "/" : rest.substr(slash);
    const std::string path = item.url.substr(0, item.url.find('?'));
    item.non_idempotent = !settings::route_is_idempotent(*found, "POST", path);
    return true;
}

} // namespace

result<wire::stored_item> parse_batch_item(std::string_view line,
                                           const settings::node_settings& node,
                                           const catalogue_view& catalogue)
{
    const json object = json::parse(line, nullptr, false);
    if (!object.is_object())
    {
        return refusal(error_code::bad_request, "not a JSON object");
    }
    const std::string* custom_id = find_text(object, "custom_id");
    const std::string* url = find_text(object, "url");
    const auto body = object.find("body");
    if (custom_id == nullptr || custom_id->empty() ||
        custom_id->size() > max_custom_id_bytes)
    {
        return refusal(error_code::bad_request,
                       "\"custom_id\" has to be a text of 1 to 512 bytes");
    }
    if (url == nullptr || url->size() > max_url_bytes || !is_printable(*url))
    {
        return refusal(error_code::bad_request,
                       "\"url\" has to be a path of at most 2048 bytes");
    }
    if (body == object.end() || !body->is_object())
    {
        return refusal(error_code::bad_request,
                       "\"body\" has to be a JSON object");
    }
    wire::stored_item item;
    item.custom_id = *custom_id;
    item.url = *url;
    item.body = body->dump();
    result<bool> read =
        refusal(error_code::bad_request,
                "\"url\" has to be /v1/chat/completions, /v1/completions or "
                "/services/SERVICE/PATH");
    if (is_completion_url(*url))
    {
        read = read_completion(*body, catalogue, item);
    }
    else if (url->rfind(service_prefix, 0) == 0)
    {
        read = read_service_call(*url, node, item);
    }
    if (read.has_error())
    {
        return read.error();
    }
    return item;
}

} // namespace parsleytrack
