#ifndef TOUCANMILL_LOG_REPLICATED_LOG_HPP
#define TOUCANMILL_LOG_REPLICATED_LOG_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <toucanmill/base/format_version.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill
{

/// Replication messages of this size or more, in octets, are large: the
/// transport carries one of them to an instance at a time. Heartbeats and votes
/// are smaller and are not dropped for it.
constexpr std::size_t large_message_octets = 4096;

/// File of control in the data folder, and the start of the name of its
/// temporary file. It may be lost at any time.
constexpr auto kept_flows_file = "kept_flows";

struct replicated_log_status;

/// Callbacks that the replicated log makes to its state machine, and the
/// transport for its messages. All calls come from the log's thread.
class log_client
{
public:
  virtual ~log_client() = default;

  /// Applies a committed command; returns the outcome passed to the caller of
  /// propose().
  virtual std::string apply(const log_entry& entry) = 0;

  /// Returns the serialized state after the last applied entry.
  virtual std::string snapshot() = 0;

  /// Replaces the state with a snapshot taken at this position.
  virtual result<void> restore(table_version position,
                               const std::string& bytes) = 0;

  /// Format version that a replica must read to get entries and snapshots, and
  /// that a build must read to open the data folder. Never falls.
  virtual format_version required_format() const
  {
    return first_format_version;
  }

  /// Why the client can't apply the latest entry or snapshot; none: it did.
  virtual std::optional<error> failure() const
  {
    return std::nullopt;
  }

  /// Why the leader takes no commands now, which is asked before each; none: it
  /// does.
  virtual std::optional<error> refusal(const replicated_log_status&) const
  {
    return std::nullopt;
  }

  /// Called when this instance becomes leader of the term, after all entries of
  /// earlier terms are applied, and when it stops being leader.
  virtual void on_leadership(bool leads, std::uint64_t term) = 0;

  /// Called when a write meets a full disk, with the reason, and without one
  /// when there is room again.
  virtual void on_storage_full(const std::optional<error>&) {}

  /// Called about every 50 ms.
  virtual void on_tick(time_point now) = 0;

  /// Sends a replication message; messages may be lost, delayed or reordered. A
  /// large one is lost if another is on its way to the same instance.
  virtual void send(const replica_address& to, std::string message) = 0;
};

struct replicated_log_options
{
  replica_id self;
  std::string folder; ///< empty: the log is kept in memory
  std::vector<replica_address> initial_group; ///< for a folder without data
  duration heartbeat_interval = std::chrono::milliseconds(100);
  /// Each timeout is drawn between this and twice this; it is shorter until the
  /// instance first hears from a leader.
  duration election_timeout = std::chrono::milliseconds(600);
  std::uint64_t entries_per_snapshot = 10000;
  /// A snapshot is also taken, regardless of the number of entries, once the
  /// entries applied since the last one reach this size or that of the last
  /// snapshot, whichever is larger.
  std::uint64_t octets_per_snapshot = std::uint64_t{64} * 1024 * 1024;
  std::uint64_t random_seed = 0; ///< 0: from std::random_device

  /// Called on the log's thread with the duration of each durable write.
  std::function<void(duration)> on_persisted;
};

/// Time since the leader last received a message from another member.
struct replica_contact_age
{
  replica_id id;
  duration age{0};
};

/// Formats that a member stated last.
struct replica_formats
{
  replica_id id;
  format_support formats;
};

/// Replication messages and replies handed to log_client::send().
struct sent_messages
{
  const char* kind = ""; ///< vote, append, heartbeat or snapshot
  std::uint64_t messages = 0;
  std::uint64_t octets = 0; ///< before the framing of the transport
};

struct replicated_log_status
{
  replica_id self;
  std::optional<replica_address> leader;
  bool leads = false;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t last_index = 0;
  std::uint64_t snapshot_index = 0;
  std::vector<replica_address> group;
  std::vector<replica_id> removed; ///< committed; ids are not reused
  /// Of the other members; empty unless this instance is the leader.
  std::vector<replica_contact_age> contact_ages;
  /// Of this instance and, if it is the leader, of the members that it heard
  /// from.
  std::vector<replica_formats> formats;
  format_version required_format = first_format_version;
  /// Members that lose their log when their process ends; on other instances
  /// than the leader only this one.
  std::vector<replica_id> in_memory;
  std::uint64_t malformed_messages = 0; ///< received and dropped
  /// Why this instance takes no part in the group any more; empty: it does. Its
  /// files stay as they are.
  std::string halted;
  /// Why writes wait for room on the disk; empty: they don't.
  std::string storage_full;
  std::vector<sent_messages> sent; ///< one of each kind
};

/// What a data folder tells about the replica that used it.
struct stored_identity
{
  /// None if the folder is empty, its initialisation did not complete, or it is
  /// being cleared.
  std::optional<replica_id> id;
  /// The group removed the replica that used the folder.
  bool cleared = false;
};

/// Errors: io_failure, corrupt_data, also if the folder needs a format version
/// that this build does not read.
result<stored_identity> read_stored_identity(const std::string& folder);

/// Gives up the contents of a data folder after its instance was removed from
/// the group, so that it can rejoin under a new id. A crash at any step leaves
/// a folder whose clearing the next start completes. Errors: io_failure.
result<void> clear_data_folder(const std::string& folder);

/// Raft log that runs on its own thread, which owns the data folder. Functions
/// may be called from any thread unless stated otherwise; callbacks run on the
/// log's thread. A failed write or fsync ends the process with exit code 70. A
/// full disk does not: the instance hands over its leadership, refuses commands
/// and writes what waits once there is room.
class replicated_log
{
public:
  using outcome_callback = std::function<void(result<std::string>)>;
  using read_callback = std::function<void(result<table_version>)>;

  /// Opens the data folder and recovers the state. Errors: corrupt_data with
  /// file and offset; io_failure; storage_full, after which the call can be
  /// repeated. The client must outlive the log.
  static result<std::unique_ptr<replicated_log>>
  open(replicated_log_options options, log_client& client);

  virtual ~replicated_log() = default;

  /// Appends a command; `done` is called once it is committed and applied.
  /// Errors: not_leader; unavailable before on_leadership() or if leadership is
  /// lost meanwhile (the command may or may not commit); storage_full while the
  /// disk is full (the command does not commit); limit_reached if too many
  /// operations are queued or the command exceeds 8 MiB.
  virtual void propose(std::string command, outcome_callback done) = 0;

  /// Linearizable read: confirms with a quorum that this instance is leader,
  /// then reports the last applied position. Errors: not_leader, unavailable.
  virtual void confirm_read(read_callback done) = 0;

  /// Queues a task for the log's thread; it runs when no entry is being
  /// applied.
  virtual void post(std::function<void()> task) = 0;

  /// Handles a message sent by log_client::send() of another instance.
  virtual void receive(std::string message) = 0;

  /// Adds, promotes, changes or removes one control instance. Errors:
  /// not_leader, invalid_argument, unavailable while another change is in
  /// progress.
  virtual void change_group(std::vector<replica_address> group,
                            outcome_callback done) = 0;

  /// Transfers leadership to an up-to-date instance if this one is leader.
  virtual void transfer_leadership() = 0;

  /// Must be called on the log's thread, from log_client calls or post().
  virtual replicated_log_status status() const = 0;

  /// Stops the thread; pending callbacks receive the error unavailable.
  virtual void stop() = 0;
};

} // namespace toucanmill

#endif
