#include "log_runtime.hpp"

#include <algorithm>
#include <utility>

#include "codec.hpp"
#include <toucanmill/base/clock.hpp>

namespace toucanmill::log_detail
{

namespace
{

/// Maximum number of tasks queued for the log's thread. When the queue is full,
/// messages are dropped and operations are rejected.
constexpr std::size_t queue_capacity = 65536;

/// Maximum number of tasks run between two syncs; bounds heartbeat delay.
constexpr std::size_t tasks_per_batch = 4096;

/// Fine enough for the core's shortest timer, the 100 ms heartbeat interval.
constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration client_tick_interval = std::chrono::milliseconds(50);

/// Maximum size of the commands and messages in these tasks.
constexpr std::size_t queue_octets = std::size_t{32} * 1024 * 1024;

constexpr std::uint64_t max_retained_entries = 1000;

/// Segments of an instance that keeps its files in memory are this much smaller
/// than a snapshot interval, since they are freed as a whole.
constexpr std::uint64_t memory_segments_per_snapshot = 8;

replica_settings make_settings(const replicated_log_options& options)
{
  replica_settings settings;
  settings.self = options.self;
  settings.formats = this_build();
  settings.in_memory = options.folder.empty();
  settings.heartbeat_interval = options.heartbeat_interval;
  settings.election_timeout = options.election_timeout;
  settings.retained_entries =
      std::min(max_retained_entries, options.entries_per_snapshot);
  settings.retained_octets = options.octets_per_snapshot;
  return settings;
}

/// Segments are removed as a whole once a snapshot covers them, so that the
/// files of the log hold little more than the entries since two snapshots.
std::uint64_t segment_bytes(const replicated_log_options& options)
{
  const auto octets = options.folder.empty() ? options.octets_per_snapshot /
                                                   memory_segments_per_snapshot
                                             : options.octets_per_snapshot;
  return std::min(write_ahead_log::default_segment_bytes, octets);
}

std::uint64_t make_seed(const replicated_log_options& options)
{
  const auto seed = options.random_seed != 0
                        ? options.random_seed
                        : std::uint64_t{std::random_device{}()};
  return seed + options.self.value;
}

/// Index in log_runtime::sent_.
std::size_t index_of_kind(message_kind kind)
{
  switch (kind)
  {
  case message_kind::append_request:
  case message_kind::append_reply:
    return 1;
  case message_kind::heartbeat:
  case message_kind::heartbeat_reply:
    return 2;
  case message_kind::snapshot_chunk:
  case message_kind::snapshot_reply:
    return 3;
  default:
    return 0;
  }
}

error stopped_error()
{
  return error{error_code::unavailable, "the replicated log is stopped"};
}

} // namespace

log_runtime::log_runtime(replicated_log_options options, log_client& client,
                         std::unique_ptr<file_system> files)
    : options_(std::move(options)), client_(client), files_(std::move(files)),
      queue_(queue_capacity, queue_octets), random_(make_seed(options_))
{
}

log_runtime::~log_runtime()
{
  stop();
}

result<void> log_runtime::start()
{
  std::promise<result<void>> started;
  auto outcome = started.get_future();
  thread_ = std::thread(
      [this, &started]
      {
        run(started);
      });
  auto result = outcome.get();
  if (!result)
    stop();
  return result;
}

void log_runtime::run(std::promise<result<void>>& started)
{
  auto recovered = recover();
  const bool usable = recovered.has_value();
  started.set_value(std::move(recovered));
  if (!usable)
    return;
  while (!queue_.closed())
  {
    for (const auto& task : queue_.pop(time_to_wakeup(), tasks_per_batch))
      task();
    tick_if_due();
    retry_storage_if_due();
    perform_actions();
  }
  close();
}

result<void> log_runtime::recover()
{
  BOOST_OUTCOME_TRY(
      store, log_store::open(*files_, options_.folder, options_.self,
                             options_.initial_group, segment_bytes(options_)));
  store_ = std::move(store);
  auto stored = store_->take_stored();
  const auto position = stored.snapshot.position;
  if (position.index != 0)
  {
    BOOST_OUTCOME_TRY(client_.restore(position, store_->take_snapshot_data()));
  }
  core_ = std::make_unique<replica_core>(make_settings(options_),
                                         std::move(stored), now_and_random());
  core_->require_format(client_.required_format());
  next_tick_ = next_client_tick_ = monotonic_now();
  return outcome::success();
}

call_context log_runtime::now_and_random()
{
  return {monotonic_now(), random_()};
}

void log_runtime::tick_if_due()
{
  const auto now = monotonic_now();
  if (now < core_tick_time())
    return;
  next_tick_ = now + tick_interval;
  if (!halted_.empty())
    return;
  core_->tick(now_and_random());
  if (now < next_client_tick_)
    return;
  next_client_tick_ = now + client_tick_interval;
  client_.on_tick(now);
}

void log_runtime::perform_actions()
{
  while (halted_.empty())
  {
    auto actions = core_->take_actions();
    announce_leadership_loss();
    if (actions.empty())
      break;
    for (auto& outgoing : actions.messages)
      send(outgoing);
    for (const auto& entry : actions.apply)
      if (halted_.empty())
        apply(entry);
    if (!halted_.empty())
      return;
    for (const auto& read : actions.reads)
      complete_read(read);
    fail_lost_proposals();
    if (!actions.persist.empty())
      persist(std::move(actions.persist));
  }
  if (!halted_.empty())
    return;
  fail_lost_proposals();
  announce_leadership();
  snapshot_if_due();
}

// Called when there is nothing left to apply. If the core accepts commands
// then, all entries of earlier terms are applied.
void log_runtime::announce_leadership()
{
  if (announced_term_ != 0 || !core_->accepts_commands())
    return;
  announced_term_ = core_->hard().term;
  client_.on_leadership(true, announced_term_);
}

void log_runtime::send(outgoing_message& outgoing)
{
  if (outgoing.to.rpc.port == 0)
    return;
  auto& message = outgoing.message;
  if (message.kind == message_kind::snapshot_chunk)
  {
    auto data = store_->read_snapshot(message.index,
                                      replica_settings{}.max_message_bytes);
    if (!data)
    {
      check_storage(data.error());
      return;
    }
    message.data = std::move(data.value());
  }
  auto bytes = encode(message);
  auto& sent = sent_[index_of_kind(message.kind)];
  ++sent.messages;
  sent.octets += bytes.size();
  client_.send(outgoing.to, std::move(bytes));
}

void log_runtime::apply(const log_entry& entry)
{
  bytes_since_snapshot_ += entry.payload.size();
  std::string outcome;
  if (entry.kind == entry_kind::command)
  {
    outcome = client_.apply(entry);
    check_client();
    if (!halted_.empty())
      return;
  }
  const auto found = proposals_.find(entry.position.index);
  if (found == proposals_.end())
    return;
  auto [term, done] = std::move(found->second);
  proposals_.erase(found);
  if (term == entry.position.term)
    done(std::move(outcome));
  else
    done(error{error_code::unavailable,
               "command overwritten by a new leader before it was committed"});
}

// An entry or snapshot that the client can't apply, for example of a newer
// build, ends the instance's part in the group, but not the process: it would
// meet the same entry after each restart. Nothing more is written to the
// folder, and nobody gets another message or vote.
void log_runtime::check_client()
{
  if (const auto why = client_.failure())
    return halt(*why);
  core_->require_format(client_.required_format());
  const auto noted = store_->require_format(client_.required_format());
  if (!noted)
    check_storage(noted);
}

void log_runtime::halt(const error& why)
{
  halted_ = why.message;
  end_pending(halted_error());
}

bool log_runtime::leads() const
{
  return halted_.empty() && core_->role() == replica_role::leader;
}

void log_runtime::complete_read(const read_outcome& read)
{
  const auto found = reads_.find(read.id);
  if (found == reads_.end())
    return;
  auto done = std::move(found->second);
  reads_.erase(found);
  if (read.confirmed)
    done(applied_position());
  else
    done(error{error_code::unavailable,
               "leadership was lost before a quorum confirmed the read"});
}

void log_runtime::announce_leadership_loss()
{
  const bool leads = core_->role() == replica_role::leader &&
                     core_->hard().term == announced_term_;
  if (announced_term_ == 0 || leads)
    return;
  const auto term = std::exchange(announced_term_, 0);
  client_.on_leadership(false, term);
}

void log_runtime::fail_lost_proposals()
{
  const bool leads = core_->role() == replica_role::leader;
  std::vector<outcome_callback> failed_callbacks;
  for (auto it = proposals_.begin(); it != proposals_.end();)
  {
    if (leads && it->second.term == core_->hard().term)
      return;
    failed_callbacks.push_back(std::move(it->second.done));
    it = proposals_.erase(it);
  }
  for (const auto& done : failed_callbacks)
    done(error{error_code::unavailable,
               "leadership was lost; the command may or may not commit"});
}

time_point log_runtime::core_tick_time() const
{
  if (!halted_.empty())
    return next_tick_;
  return std::min(next_tick_, core_->next_round_time().value_or(next_tick_));
}

// Zero while a snapshot is being written, so that its next part follows at
// once.
duration log_runtime::time_to_wakeup() const
{
  if (halted_.empty() && storage_full_.empty() &&
      store_->snapshot_in_progress())
    return duration{0};
  return std::max(core_tick_time() - monotonic_now(), duration{0});
}

table_version log_runtime::applied_position() const
{
  const auto index = core_->applied_index();
  return {core_->log().term_at(index).value_or(0), index};
}

void log_runtime::close()
{
  closing_ = true;
  constexpr duration no_wait{0};
  for (auto tasks = queue_.pop(no_wait, tasks_per_batch); !tasks.empty();
       tasks = queue_.pop(no_wait, tasks_per_batch))
    for (const auto& task : tasks)
      task();
  end_pending(stopped_error());
}

// Ends what waits for the group, and the leadership.
void log_runtime::end_pending(const error& why)
{
  for (auto& [index, proposal] : std::exchange(proposals_, {}))
    proposal.done(why);
  for (auto& [id, done] : std::exchange(reads_, {}))
    done(why);
  if (announced_term_ != 0)
    client_.on_leadership(false, std::exchange(announced_term_, 0));
}

void log_runtime::stop()
{
  queue_.close();
  if (thread_.joinable() && thread_.get_id() != std::this_thread::get_id())
    thread_.join();
}

} // namespace toucanmill::log_detail
