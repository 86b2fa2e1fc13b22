// Durable writes and snapshots of log_runtime, also over a full disk.

#include "log_runtime.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include <toucanmill/base/clock.hpp>

namespace toucanmill::log_detail
{

namespace
{

constexpr duration storage_retry_interval = std::chrono::milliseconds(50);

constexpr int storage_failure_exit_code = 70;

// After a failed write or sync the content of the data folder is unknown. Only
// a restart with recovery can continue safely.
[[noreturn]] void terminate_process(const error& failure)
{
  std::fprintf(stderr, "replicated log: %s; terminating the process\n",
               failure.message.c_str());
  std::_Exit(storage_failure_exit_code);
}

} // namespace

void log_runtime::persist(persist_request request)
{
  // A snapshot that can't be restored is not kept.
  if (request.snapshot)
  {
    const auto& [meta, data] = *request.snapshot;
    if (const auto restored = client_.restore(meta.position, data); !restored)
      return halt(restored.error());
    check_client();
    bytes_since_snapshot_ = 0;
  }
  unsaved_.push_back(std::move(request));
  if (storage_full_.empty())
    write_unsaved();
}

// Stops at a full disk. The core goes on meanwhile: what depends on the writes
// waits for persisted().
void log_runtime::write_unsaved()
{
  while (!unsaved_.empty())
  {
    const auto request = std::move(unsaved_.front());
    unsaved_.pop_front();
    saving_ = request.sequence;
    const auto start_time = monotonic_now();
    if (!check_storage(store_->save(request)))
      return;
    if (options_.on_persisted)
      options_.on_persisted(monotonic_now() - start_time);
    core_->persisted(std::exchange(saving_, 0), now_and_random());
  }
}

// Returns false if the disk is full; any other failure ends the process.
bool log_runtime::check_storage(const result<void>& written)
{
  if (!written && written.error().code != error_code::storage_full)
    terminate_process(written.error());
  const bool was_full = !storage_full_.empty();
  storage_full_ = written ? std::string{} : written.error().message;
  if (written.has_value() != was_full)
    return written.has_value();
  core_->set_storage_usable(written.has_value());
  client_.on_storage_full(written ? std::optional<error>{}
                                  : std::make_optional(written.error()));
  return written.has_value();
}

result<void> log_runtime::resume_storage()
{
  BOOST_OUTCOME_TRY(store_->complete());
  if (store_->snapshot_in_progress())
    return continue_snapshot();
  return outcome::success();
}

// A leader that can't write would answer nobody until there is room.
void log_runtime::retry_storage_if_due()
{
  if (storage_full_.empty() || !halted_.empty() ||
      monotonic_now() < next_storage_retry_)
    return;
  next_storage_retry_ = monotonic_now() + storage_retry_interval;
  if (!check_storage(resume_storage()))
    return core_->transfer_leadership(now_and_random());
  if (saving_ != 0)
    core_->persisted(std::exchange(saving_, 0), now_and_random());
  write_unsaved();
}

void log_runtime::snapshot_if_due()
{
  if (!storage_full_.empty())
    return;
  if (store_->snapshot_in_progress())
  {
    check_storage(continue_snapshot());
    return;
  }
  const auto& last = core_->snapshot();
  const auto entries = core_->applied_index() - last.position.index;
  const auto max_bytes = std::max(options_.octets_per_snapshot, last.size);
  if (entries == 0 || (entries < options_.entries_per_snapshot &&
                       bytes_since_snapshot_ < max_bytes))
    return;
  const auto position = applied_position();
  auto data = client_.snapshot();
  const snapshot_meta meta{position, core_->group_at(position.index),
                           data.size()};
  store_->begin_snapshot(meta, std::move(data));
  bytes_since_snapshot_ = 0;
}

result<void> log_runtime::continue_snapshot()
{
  BOOST_OUTCOME_TRY(written, store_->step_snapshot());
  if (written)
    core_->compact(*written);
  return outcome::success();
}

} // namespace toucanmill::log_detail
