#ifndef TOUCANMILL_SRC_LOG_REPLICA_CORE_HPP
#define TOUCANMILL_SRC_LOG_REPLICA_CORE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "log_buffer.hpp"
#include "message.hpp"
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill::log_detail
{

/// Current time and a random number, passed in so that the core is
/// deterministic.
struct call_context
{
  time_point now;
  std::uint64_t random_value = 0;
};

struct replica_settings
{
  replica_id self;
  format_support formats; ///< of this build
  bool in_memory = false; ///< the log is lost when the process ends
  duration heartbeat_interval = std::chrono::milliseconds(100);
  duration election_timeout = std::chrono::milliseconds(600);
  /// Least time between the starts of two rounds that confirm reads. Nodes
  /// report every 500 ms, so that 10 ms until an answer matter little to them;
  /// 300 of them would start 600 rounds a second, each a message to each voter.
  duration read_round_interval = std::chrono::milliseconds(10);
  std::size_t max_message_bytes =
      std::size_t{256} * 1024; ///< of entry payloads or snapshot data
  std::size_t max_messages_in_flight = 16; ///< append requests per replica
  /// Encoded size from which a replica gets one append request at a time.
  std::size_t large_message_bytes = large_message_octets;
  /// Entries covered by a snapshot that stay in the log, so that a replica that
  /// lags by fewer entries does not need the snapshot.
  std::uint64_t retained_entries = 1000;
  /// Limit for the payloads of these entries. An entry may hold a whole
  /// configuration, so their number does not bound the memory.
  std::uint64_t retained_octets = std::uint64_t{8} * 1024 * 1024;
  /// Limit for the payloads of entries that are not committed yet; one entry is
  /// accepted whatever its size.
  std::uint64_t max_uncommitted_octets = std::uint64_t{16} * 1024 * 1024;
};

/// State that a replica reads from its data folder when it starts.
struct stored_state
{
  hard_state hard;
  snapshot_meta snapshot;         ///< position 0: only the initial group
  std::vector<log_entry> entries; ///< follow the snapshot without a gap
};

/// A snapshot from the leader that replaces the state of the state machine.
struct received_snapshot
{
  snapshot_meta meta;
  std::string data;
};

/// Records that the caller must make durable before it calls
/// persisted(sequence). Written in the order snapshot, hard state, entries.
struct persist_request
{
  std::uint64_t sequence = 0;
  std::optional<received_snapshot> snapshot;
  std::optional<hard_state> hard;
  /// Replace the stored entries from the index of the first one on.
  std::vector<log_entry> entries;

  bool empty() const
  {
    return sequence == 0;
  }
};

struct outgoing_message
{
  replica_address to;
  replica_message message; ///< the caller adds the data of a snapshot chunk
};

struct read_outcome
{
  std::uint64_t id = 0;
  bool confirmed = false; ///< leadership confirmed and entries applied
};

/// Work for the caller, to be done in the order of the members.
struct replica_actions
{
  std::vector<outgoing_message> messages;
  std::vector<log_entry> apply; ///< committed; to apply before persist
  std::vector<read_outcome> reads;
  persist_request persist;

  bool empty() const
  {
    return messages.empty() && apply.empty() && reads.empty() &&
           persist.empty();
  }
};

enum class replica_role
{
  follower,
  pre_candidate,
  candidate,
  leader,
};

/// Raft replica as a deterministic state machine without I/O. A vote, an
/// acknowledgement or the replica's own match index counts only after
/// persisted() reported its record as durable.
class replica_core
{
public:
  replica_core(replica_settings settings, stored_state stored,
               call_context context);

  void tick(call_context context);
  void receive(const replica_message& message, call_context context);

  /// All persist requests up to this sequence number are durable.
  void persisted(std::uint64_t sequence, call_context context);

  /// Appends a command to the log; returns its position. Errors: not_leader;
  /// unavailable before accepts_commands() or during a leadership transfer;
  /// limit_reached for a command over 8 MiB, or if too much is uncommitted.
  result<table_version> propose(std::string command);

  /// Starts a linearizable read; its outcome appears in the actions. Shares a
  /// round with the reads that arrive within read_round_interval. Errors:
  /// not_leader.
  result<void> read(std::uint64_t id, call_context context);

  /// When tick() is due for reads that wait for the next round; none if none
  /// wait for it.
  std::optional<time_point> next_round_time() const;

  /// Adds, promotes, changes or removes one member, or promotes one in place of
  /// the voter at the same endpoint, whose process must have ended for good.
  /// Errors: not_leader, invalid_argument, unavailable.
  result<table_version> change_group(const std::vector<replica_address>& group,
                                     call_context context);

  /// Entries and snapshots go only to replicas that read this version.
  void require_format(format_version version)
  {
    required_format_ = version;
  }

  void transfer_leadership(call_context context);

  /// Whether writes can become durable soon. While they can't, this replica
  /// does not campaign.
  void set_storage_usable(bool usable)
  {
    storage_usable_ = usable;
  }

  /// Compacts the log after a snapshot of the applied state became durable.
  void compact(const snapshot_meta& snapshot);

  /// Returns the actions since the last call. Builds the batched append
  /// requests, so call it after each batch of inputs until it returns none.
  replica_actions take_actions();

  /// Whether this replica is the leader, has committed an entry of its term,
  /// and a quorum may vote. This guarantees that a log with commands always has
  /// a quorum that may vote.
  bool accepts_commands() const;

  replica_role role() const
  {
    return role_;
  }
  const hard_state& hard() const
  {
    return hard_;
  }
  const std::optional<replica_address>& leader() const
  {
    return leader_;
  }
  std::uint64_t commit_index() const
  {
    return commit_;
  }
  std::uint64_t applied_index() const
  {
    return applied_;
  }
  const snapshot_meta& snapshot() const
  {
    return snapshot_;
  }
  const log_buffer& log() const
  {
    return log_;
  }
  /// Time since each other member was last heard from; empty if not leader.
  std::vector<replica_contact_age> contact_ages(time_point now) const;

  /// What this replica and the members that it heard from as leader support.
  std::vector<replica_formats> formats() const;

  /// Members that lose their log when their process ends, as far as this
  /// replica has heard as leader.
  std::vector<replica_id> members_in_memory() const;

  /// The newest group configuration in the log, committed or not.
  const group_record& group() const
  {
    return groups_.back().second;
  }
  /// The group configuration at an applied index, for a snapshot taken there.
  const group_record& group_at(std::uint64_t index) const;

private:
  /// How the leader replicates to a peer.
  enum class progress_state
  {
    probe,     ///< one request at a time, until the match index is known
    replicate, ///< pipelined append requests
    snapshot,  ///< needs entries that were compacted
  };

  struct sent_request
  {
    std::uint64_t last = 0; ///< index of its last entry
    bool large = false;
  };

  /// Replication state that the leader keeps for another replica.
  struct progress
  {
    replica_address address;
    progress_state state = progress_state::probe;
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    std::deque<sent_request> in_flight; ///< append requests
    std::uint64_t round = 0;            ///< last heartbeat round answered
    /// The first heartbeat round that starts after this replica was heard from;
    /// 0: not heard from yet.
    std::uint64_t first_round = 0;
    time_point first_contact;
    std::uint64_t announced_commit = 0; ///< newest sent that its log covers
    std::uint64_t snapshot_offset = 0;
    table_version snapshot_position;
    bool may_vote = false;
    bool in_memory = false;
    std::optional<format_support> formats; ///< none: not heard from yet
    bool waiting = false;     ///< probe or chunk sent, no reply yet
    time_point last_activity; ///< last send or acknowledgement
    time_point last_contact;
  };

  struct pending_read
  {
    std::uint64_t id = 0;
    std::uint64_t index = 0;
    std::uint64_t round = 0; ///< heartbeat round, 0: not yet assigned
  };

  // replica_core.cpp
  void set_time(call_context context);
  void dispatch(const replica_message& message);
  void reject_stale(const replica_message& message);
  replica_message make_message(message_kind kind, replica_id to) const;
  void send_now(replica_message message);
  void send_after_persist(replica_message message);
  replica_address address_of(replica_id id, const replica_address& hint) const;
  void collect_persist(replica_actions& actions);
  void collect_applied(replica_actions& actions);
  void mark_unpersisted(std::uint64_t from);
  void append_entry(log_entry entry);
  void truncate_from(std::uint64_t index);
  std::uint64_t first_retained(std::uint64_t snapshot_index) const;

  // replica_election_core.cpp
  void reset_election_deadline();
  bool has_live_leader() const;
  bool may_campaign() const;
  bool may_lead() const;
  bool may_vote_for(const replica_message& request) const;
  bool is_pristine() const;
  void pre_campaign();
  void campaign(bool forced);
  void become_follower(std::uint64_t term);
  void become_leader();
  void count_vote(const replica_message& message, replica_role expected);
  void on_pre_vote_request(const replica_message& message);
  void on_vote_request(const replica_message& message);
  void on_timeout_now();
  void leader_tick();
  void enable_voting_if_caught_up();

  // replica_append_core.cpp
  void send_pending();
  bool may_receive(progress& peer);
  bool is_replaced(const progress& peer) const;
  bool may_pipeline(const progress& peer) const;
  bool next_is_large(const progress& peer) const;
  void send_entries(progress& peer);
  void send_heartbeat(progress& peer);
  void send_heartbeats();
  void send_probe(progress& peer);
  void retransmit();
  void record_leader_contact(const replica_message& message);
  void on_append_request(const replica_message& message);
  void accept_entries(const replica_message& message);
  void on_append_reply(const replica_message& message);
  void on_heartbeat(const replica_message& message);
  void on_heartbeat_reply(const replica_message& message);
  void update_commit_from_leader(std::uint64_t commit, std::uint64_t verified);
  void advance_commit();
  void set_commit(std::uint64_t index);
  progress* peer_of(const replica_message& message);
  void record_peer_contact(progress& peer, const replica_message& message);

  // replica_snapshot_core.cpp
  void send_snapshot(progress& peer);
  void on_snapshot_chunk(const replica_message& message);
  void install(const replica_message& message);
  void on_snapshot_reply(const replica_message& message);

  // replica_group_core.cpp
  bool is_voter(replica_id id) const;
  std::size_t quorum() const;
  template <class Predicate>
  bool quorum_of(Predicate agrees) const;
  bool own_term_committed() const;
  void sync_progress();
  result<void> check_change(const std::vector<replica_address>& group) const;
  result<void> check_replacement(replica_id lost, replica_id successor) const;
  bool may_vote_durably() const;
  bool has_voting_quorum(const std::vector<replica_address>& group) const;
  void step_down_if_removed();
  void send_timeout_now();

  // replica_read_core.cpp
  bool has_unassigned_reads() const;
  void start_reads();
  void send_round();
  void finish_reads();
  void fail_reads();

  replica_settings settings_;
  hard_state hard_;
  snapshot_meta snapshot_;
  log_buffer log_;
  /// Index and configuration of each membership entry in the log; the first is
  /// the one in force at the log's base.
  std::vector<std::pair<std::uint64_t, group_record>> groups_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  format_version required_format_ = first_format_version;

  replica_role role_ = replica_role::follower;
  std::optional<replica_address> leader_;
  time_point now_;
  std::uint64_t random_value_ = 0;
  time_point leader_last_contact_;
  time_point election_deadline_;
  unsigned pre_campaigns_ = 0; ///< since the process started
  bool storage_usable_ = true;
  time_point heartbeat_due_;
  std::set<replica_id> votes_;
  std::map<replica_id, progress> peers_;
  std::uint64_t term_start_ = 0; ///< index of this leader's no-op
  std::optional<replica_id> transfer_target_;
  time_point transfer_deadline_;
  bool timeout_now_sent_ = false;

  /// Last heartbeat round: number of the newest batch of reads. Heartbeats
  /// carry it, so that the replies confirm this replica as leader for the
  /// batch, even if the first heartbeats of the round are lost.
  std::uint64_t round_ = 0;
  time_point next_round_time_;
  std::deque<pending_read> pending_reads_;

  std::string incoming_snapshot_;
  table_version incoming_snapshot_position_;
  std::optional<received_snapshot> snapshot_to_persist_;
  /// Index that must be durable before this replica may vote; 0: unknown.
  std::uint64_t catch_up_target_ = 0;

  std::uint64_t sequence_ = 0; ///< of the last persist request
  std::uint64_t durable_sequence_ = 0;
  std::uint64_t durable_index_ = 0;
  std::uint64_t unpersisted_from_ = 0; ///< 0: no entries to persist
  hard_state requested_hard_;          ///< the newest in a persist request
  /// Persist request that makes hard_.may_vote durable.
  std::uint64_t may_vote_sequence_ = 0;
  /// Sequence and last index of each persist request that is not yet durable.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> persists_in_flight_;
  /// Messages to send once the persist request of this sequence is durable.
  std::deque<std::pair<std::uint64_t, outgoing_message>> awaiting_persist_;
  /// Messages to send after a persist, not yet assigned to a sequence.
  std::vector<outgoing_message> awaiting_sequence_;
  replica_actions actions_;
};

} // namespace toucanmill::log_detail

#endif
