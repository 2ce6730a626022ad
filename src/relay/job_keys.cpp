#include "relay/job_keys.hpp"

#include "workspaces/key_digest.hpp"

namespace parsleytrack::relay
{

namespace
{

constexpr std::size_t position_digits = 6;

} // namespace

std::string job_state_key(const job_id& job)
{
    return job_state_prefix + job.str();
}

std::string job_input_key(const job_id& job)
{
    return "parsleytrack/jobs/input/" + job.str();
}

std::string job_output_prefix(const job_id& job)
{
    return "parsleytrack/jobs/output/" + job.str() + "/";
}

std::string job_output_key(const job_id& job, std::size_t position)
{
    std::string digits = std::to_string(position);
    if (digits.size() < position_digits)
    {
        digits.insert(0, position_digits - digits.size(), '0');
    }
    return job_output_prefix(job) + digits;
}

std::string job_progress_key(const job_id& job)
{
    return "parsleytrack/jobs/progress/" + job.str();
}

std::string job_usage_key(const jobs::usage_account& account)
{
    const std::string key = "parsleytrack/jobs/usage/" + account.route_name;
    return account.workspace.empty()
               ? key
               : key + "/" + workspaces::name_digest(account.workspace.str());
}

job_id stored_job_id(const workspace_name& workspace, const job_id& id)
{
    return workspace.empty() ? id
                             : job_id(workspaces::name_digest(workspace.str()) +
                                      "." + id.str());
}

} // namespace parsleytrack::relay
