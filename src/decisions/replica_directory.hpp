#pragma once

#include "decisions/replica_list.hpp"
#include "units/time.hpp"

#include <map>
#include <set>
#include <vector>

namespace parsleytrack
{

/// Joins all that is known of the backend servers. The platform's list lags,
/// so a backend server also counts as leaving while any node holds a recent
/// word of it: its own state report, or its refusal of a request. The earliest
/// word counts.
///
/// A word lapses after a while, since the same name may come back after a
/// restart. If the backend server is still leaving, the next refusal or report
/// renews the word.
class replica_directory
{
public:
    /// How long a word of leaving counts after it was last heard.
    static constexpr duration word_lifetime = std::chrono::seconds(30);

    /// \param replicas The backend servers that the settings name.
    void set_static(const std::vector<replica_info>& replicas);

    /// Replaces the platform's list.
    void set_list(replica_list list);

    const replica_list& list() const { return this->listed; }

    /// A backend server has refused a request of this node as leaving, or has
    /// reported that it is.
    void report_leaving(const replica_id& replica, time_point now);

    /// A backend server has reported to this node that it is not leaving.
    ///
    /// \param asked_at When it was asked; a later word stays.
    void report_live(const replica_id& replica, time_point asked_at);

    /// Another node holds words of leaving.
    void hear_leaving(const std::set<replica_id>& replicas, time_point now);

    /// \returns The backend servers of which this node itself has a word.
    std::set<replica_id> own_words(time_point now) const;

    /// \returns All backend servers, in the state that counts.
    std::vector<replica_info> joined(time_point now) const;

private:
    using words = std::map<replica_id, time_point>;

    static bool counts(const words& known, const replica_id& replica,
                       time_point now);
    void forget_unlisted_words();

    std::map<replica_id, replica_info> static_replicas;
    replica_list listed;
    words reported;
    words heard;
};

} // namespace parsleytrack
