#pragma once

#include "daemon/node_context.hpp"
#include "decisions/placement.hpp"
#include "storage/kept_record.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace parsleytrack
{

/// Keeps and serves bulk segments on a node with a data folder, and reaches
/// those of the other keepers.
class storage_module
{
public:
    using put_callback = std::function<void(result<placement>)>;
    using fetch_callback = std::function<void(result<std::string>)>;
    using records_callback =
        std::function<void(std::vector<storage::kept_record>)>;

    explicit storage_module(node_context& node);
    ~storage_module();
    storage_module(const storage_module&) = delete;
    storage_module& operator=(const storage_module&) = delete;

    /// Opens the data folder, if this node has one.
    ///
    /// \returns Nothing, or error_code::storage_failed when the folder cannot
    /// be used.
    result<bool> start();

    /// Writes copies to keepers in different availability zones.
    ///
    /// \param bytes The segment's content.
    /// \param callback Gets the placement once as many copies are synced as the
    /// settings ask for, or two where no further keeper can be reached;
    /// error_code::too_few_keepers otherwise.
    void put_everywhere(std::string bytes, put_callback callback);

    /// Reads a segment from whoever has an intact copy.
    ///
    /// \param segment The segment.
    /// \param holders The keepers to ask first.
    void fetch(const segment_id& segment, const std::vector<node_id>& holders,
               fetch_callback callback);

    /// Leaves copies of a record with keepers, for reading in an outage of the
    /// platform's store.
    ///
    /// \param record The record; what stands before the first "/" of its name
    /// decides on the keepers.
    /// \param callback Called when the keepers have answered; with false when
    /// none has taken it.
    void keep_record(const storage::kept_record& record,
                     std::function<void(bool)> callback);

    /// Reads the newest copies of records.
    ///
    /// \param group What stands before the first "/" of their names.
    /// \param callback Gets the records; none when no keeper has any.
    void read_records(const std::string& group, records_callback callback);

    /// Begins a planned stop.
    ///
    /// \param done Called once nothing is left to finish here.
    void drain(std::function<void()> done);

private:
    struct state;
    std::shared_ptr<state> contents;
};

} // namespace parsleytrack
