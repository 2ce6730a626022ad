#include "cli/request_generator.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>
#include <vector>

namespace parsleytrack::cli
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 16> vocabulary{
    "pistachio", "case",    "maple",   "morning", "stilts",  "rings",
    "festival",  "counter", "order",   "school",  "berries", "height",
    "tubs",      "note",    "weekend", "street"};

std::vector<double> workspace_weights(int count)
{
    std::vector<double> weights;
    for (int number = 1; number <= count; ++number)
    {
        weights.push_back(1.0 / number);
    }
    return weights;
}

} // namespace

request_generator::request_generator(const load_options& load)
    : options(load), random(load.seed + 1)
{
    const auto weights = workspace_weights(load.workspaces);
    this->workspaces =
        std::discrete_distribution<int>(weights.begin(), weights.end());
}

net::http_request request_generator::online_request()
{
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Workspace", this->draw_workspace()},
                       {"X-Deadline-Ms", std::to_string(to_milliseconds(
                                             this->options.deadline))}};
    request.body = this->chat_body(this->options.tokens, true);
    return request;
}

net::http_request request_generator::batch_job_request(int job)
{
    net::http_request request;
    request.method = "POST";
    const auto deadline = std::chrono::duration_cast<std::chrono::seconds>(
        this->options.batch_deadline);
    request.target =
        "/v1/batches?deadline_s=" + std::to_string(deadline.count());
    // A random key, so that two runs with the same seed submit separate jobs.
    const std::string key = "load-" + std::to_string(std::random_device()()) +
                            "-" + std::to_string(job);
    request.headers = {{"Content-Type", "application/jsonl"},
                       {"X-Workspace", this->draw_workspace()},
                       {"Idempotency-Key", key}};
    for (int item = 0; item < this->options.batch_items; ++item)
    {
        const json line{{"custom_id", "item-" + std::to_string(item)},
                        {"url", "/v1/chat/completions"},
                        {"body", json::parse(this->chat_body(
                                     this->options.batch_tokens, false))}};
        request.body += line.dump() + "\n";
    }
    return request;
}

std::string request_generator::chat_body(int tokens, bool streamed)
{
    std::uniform_int_distribution<std::uint64_t> families(
        1, static_cast<std::uint64_t>(this->options.families));
    random_source family(families(this->random));
    const std::string prefix =
        this->draw_words(this->options.prefix_bytes, family);
    const std::string question =
        this->draw_words(this->options.question_bytes, this->random);
    const json body{
        {"model", this->options.model.str()},
        {"stream", streamed},
        {"max_tokens", tokens},
        {"messages", json::array({{{"role", "system"}, {"content", prefix}},
                                  {{"role", "user"}, {"content", question}}})}};
    return body.dump();
}

std::string request_generator::draw_words(std::size_t bytes,
                                          random_source& source)
{
    std::uniform_int_distribution<std::size_t> draw(0, vocabulary.size() - 1);
    std::string text;
    while (text.size() < bytes)
    {
        text += vocabulary[draw(source)];
        text += ' ';
    }
    text.resize(bytes);
    return text;
}

std::string request_generator::draw_workspace()
{
    return "shop-" + std::to_string(this->workspaces(this->random) + 1);
}

} // namespace parsleytrack::cli
