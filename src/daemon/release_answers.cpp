#include "daemon/release_answers.hpp"

#include "net/error_response.hpp"

#include <nlohmann/json.hpp>

namespace parsleytrack
{

namespace
{

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_unprocessable = 422;

std::string dump(const json& object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

json error_object(error_code code, const std::string& message)
{
    return json::parse(error_body(error{code, message, ran_state::no, {}}));
}

} // namespace

void respond_version(net::http_exchange& exchange, release_version version)
{
    exchange.respond_json(status_ok, dump({{"version", version.count()}}));
}

void respond_conflict(net::http_exchange& exchange,
                      const release_ledger::conflict& refusal)
{
    json body = error_object(error_code::conflict, refusal.message);
    body["version"] = refusal.in_force.count();
    body["differences"] = json::array();
    for (const accepted_note& note : refusal.since)
    {
        body["differences"].push_back({{"version", note.version.count()},
                                       {"note_id", note.id.str()},
                                       {"changes", note.changes}});
    }
    exchange.respond_json(status_conflict, dump(body));
}

void respond_findings(net::http_exchange& exchange, const findings& problems)
{
    json body = error_object(error_code::bad_request,
                             "the release note has " +
                                 std::to_string(problems.size()) + " findings");
    body["findings"] = json::array();
    for (const finding& problem : problems)
    {
        body["findings"].push_back(
            {{"place", problem.location}, {"message", problem.message}});
    }
    exchange.respond_json(status_unprocessable, dump(body));
}

} // namespace parsleytrack
