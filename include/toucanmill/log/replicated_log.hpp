#ifndef TOUCANMILL_LOG_REPLICATED_LOG_HPP
#define TOUCANMILL_LOG_REPLICATED_LOG_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill
{

/// What the replicated log needs from the state machine on top of it. All calls
/// come from the log's thread.
class log_client
{
public:
  virtual ~log_client() = default;

  /// Applies a committed command; returns its outcome for the proposer.
  virtual std::string apply(const log_entry& entry) = 0;

  /// The whole state after the last applied entry.
  virtual std::string snapshot() = 0;

  /// Replaces the state by that of a snapshot taken at this position.
  virtual result<void> restore(table_version position,
                               const std::string& bytes) = 0;

  /// This instance became leader of the term, after every entry of earlier
  /// terms was applied, or ceased to be leader.
  virtual void on_leadership(bool leads, std::uint64_t term) = 0;

  /// Called about every 50 ms.
  virtual void on_tick(time_point now) = 0;

  /// Sends a replication message; may lose, delay or reorder it.
  virtual void send(const replica_address& to, std::string message) = 0;
};

struct replicated_log_options
{
  replica_id self;
  std::string folder; ///< empty: the log is kept in memory
  std::vector<replica_address> initial_group; ///< used with an empty folder
  duration heartbeat_interval = std::chrono::milliseconds(100);
  duration election_timeout = std::chrono::milliseconds(600); ///< up to twice
  std::uint64_t entries_per_snapshot = 10000;
  /// The log may grow by this size, or that of the last snapshot, before a
  /// snapshot is taken regardless of the number of entries.
  std::uint64_t octets_per_snapshot = std::uint64_t{64} * 1024 * 1024;
  std::uint64_t random_seed = 0;

  /// Called on the log's thread with the time that a durable write took.
  std::function<void(duration)> on_persisted;
};

/// How long the leader has not heard another member.
struct replica_silence
{
  replica_id id;
  duration silent{0};
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
  std::vector<replica_id> removed;       ///< committed; never members again
  std::vector<replica_silence> silences; ///< on the leader, of other members
  std::uint64_t malformed_messages = 0;  ///< received and dropped
};

/// The id under which a data folder was used; none for a folder that is empty
/// or was never completely set up. Errors: io_failure, corrupt_data.
result<std::optional<replica_id>> stored_replica_id(const std::string& folder);

/// Removes everything in a data folder whose instance was removed from the
/// group, so that it can join again under a new id. Errors: io_failure.
result<void> clear_data_folder(const std::string& folder);

/// Thread that owns the replica core and its data folder. Every function may be
/// called from any thread; callbacks run on the log's thread. A failed fsync
/// ends the process with exit code 70.
class replicated_log
{
public:
  using outcome_callback = std::function<void(result<std::string>)>;
  using read_callback = std::function<void(result<table_version>)>;

  /// Opens the folder and recovers. Errors: corrupt_data with file and offset;
  /// io_failure. The client must outlive the log.
  static result<std::unique_ptr<replicated_log>>
  open(replicated_log_options options, log_client& client);

  virtual ~replicated_log() = default;

  /// Appends a command; the outcome comes after it was committed and applied.
  /// Errors: not_leader; unavailable when leadership was lost meanwhile (the
  /// command may or may not commit), or before on_leadership(); limit_reached
  /// when too many operations wait or the command exceeds 8 MiB.
  virtual void propose(std::string command, outcome_callback done) = 0;

  /// Confirms with a quorum that this instance leads, then reports the last
  /// applied position. Errors: not_leader, unavailable.
  virtual void confirm_read(read_callback done) = 0;

  /// Runs a task on the log's thread, between entries.
  virtual void post(std::function<void()> task) = 0;

  /// A message that send() of another instance produced.
  virtual void receive(std::string message) = 0;

  /// Adds, promotes or removes one control instance. Errors: not_leader,
  /// invalid_argument, unavailable while another change is in progress.
  virtual void change_group(std::vector<replica_address> group,
                            outcome_callback done) = 0;

  /// Hands leadership to an up-to-date instance, if this one leads.
  virtual void transfer_leadership() = 0;

  /// Call on the log's thread (from the client's calls or post()).
  virtual replicated_log_status status() const = 0;

  /// Stops the thread; pending callbacks get unavailable.
  virtual void stop() = 0;
};

} // namespace toucanmill

#endif
