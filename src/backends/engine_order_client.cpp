#include "backends/engine_order_client.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace parsleytrack::backends
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

error unreadable(const char* what, ran_state ran)
{
    return error{error_code::backend_failed,
                 std::string("the engine's answer to ") + what +
                     " cannot be read",
                 ran,
                 {}};
}

engine_part read_part(const json& object, engine_part::kind kind)
{
    engine_part part;
    part.what = kind;
    part.name = object.at("name").get<std::string>();
    part.version = object.at("version").get<std::string>();
    if (kind == engine_part::kind::adapter)
    {
        part.model = object.value("model", std::string());
    }
    return part;
}

engine_state read_engine_state(const json& object)
{
    engine_state state;
    state.leaving = object.value("leaving", false);
    state.checks_fencing = object.value("checks_fencing", false);
    state.highest_fencing =
        fencing_number(object.value("highest_fencing_number", std::int64_t{0}));
    for (const json& entry : object.at("models"))
    {
        state.loaded.insert(read_part(entry, engine_part::kind::model));
    }
    for (const json& entry : object.at("adapters"))
    {
        state.loaded.insert(read_part(entry, engine_part::kind::adapter));
    }
    for (const json& entry : object.value("loading", json::array()))
    {
        const bool adapter = entry.at("kind") == "adapter";
        engine_part part = read_part(entry, adapter ? engine_part::kind::adapter
                                                    : engine_part::kind::model);
        part.model.clear();
        state.loading.insert(std::move(part));
    }
    return state;
}

json write_parts(const std::vector<engine_part>& parts)
{
    json list = json::array();
    for (const engine_part& part : parts)
    {
        const bool is_model = part.what == engine_part::kind::model;
        json entry{{"kind", is_model ? "model" : "adapter"},
                   {"name", part.name},
                   {"version", part.version}};
        if (!is_model)
        {
            entry["model"] = part.model;
        }
        list.push_back(std::move(entry));
    }
    return list;
}

result<engine_state> parse_state(const net::http_response& response)
{
    if (response.status != status_ok)
    {
        return error{error_code::backend_failed,
                     "the engine answered " + std::to_string(response.status) +
                         " to a question for its state",
                     ran_state::no,
                     {}};
    }
    try
    {
        return read_engine_state(json::parse(response.body));
    }
    catch (const json::exception&)
    {
        return unreadable("a question for its state", ran_state::no);
    }
}

result<order_answer> parse_answer(const net::http_response& response)
{
    order_answer answer;
    answer.accepted = response.status == status_ok;
    if (answer.accepted)
    {
        return answer;
    }
    if (response.status != status_conflict)
    {
        return error{error_code::backend_failed,
                     "the engine answered " + std::to_string(response.status) +
                         " to an order",
                     ran_state::unknown,
                     {}};
    }
    try
    {
        const json body = json::parse(response.body);
        answer.highest = fencing_number(
            body.value("highest_fencing_number", std::int64_t{0}));
        return answer;
    }
    catch (const json::exception&)
    {
        return unreadable("an order", ran_state::unknown);
    }
}

} // namespace

engine_order_client::engine_order_client(net::http_client& client,
                                         endpoint address, duration longest)
    : http(client), target(std::move(address)), timeout(longest)
{
}

std::unique_ptr<net::http_call>
engine_order_client::read_state(state_callback callback)
{
    net::http_request request;
    request.target = "/v1/state";
    request.total_timeout = this->timeout;
    net::http_client::callbacks hooks;
    hooks.on_end =
        [callback = std::move(callback)](result<net::http_response> end)
    {
        callback(end.has_error() ? result<engine_state>(end.error())
                                 : parse_state(end.value()));
    };
    return this->http.send(this->target, request, std::move(hooks));
}

std::unique_ptr<net::http_call>
engine_order_client::send(const engine_order& order, order_callback callback)
{
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json{{"fencing_number", order.number.count()},
                        {"load", write_parts(order.load)},
                        {"unload", write_parts(order.unload)}}
                       .dump();
    request.total_timeout = this->timeout;
    net::http_client::callbacks hooks;
    hooks.on_end =
        [callback = std::move(callback)](result<net::http_response> end)
    {
        callback(end.has_error() ? result<order_answer>(end.error())
                                 : parse_answer(end.value()));
    };
    return this->http.send(this->target, request, std::move(hooks));
}

} // namespace parsleytrack::backends
