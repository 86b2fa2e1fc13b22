#include "log_runtime.hpp"

#include <algorithm>
#include <utility>

#include "codec.hpp"
#include <toucanmill/base/clock.hpp>

namespace toucanmill::log_detail
{

namespace
{

error stopped_error()
{
  return error{error_code::unavailable, "the replicated log is stopped"};
}

} // namespace

// Rejects the operation if the queue is full. The rejection is queued beyond
// the capacity because callbacks must run on the log's thread.
template <class Callback>
void log_runtime::submit(task_queue::task work, const Callback& done,
                         std::size_t octets)
{
  if (queue_.push(work, octets))
    return;
  task_queue::task rejection = [done]
  {
    done(error{error_code::limit_reached,
               "replicated log overloaded: task queue is full"});
  };
  if (!queue_.push_unbounded(rejection))
    done(stopped_error());
}

void log_runtime::propose(std::string command, outcome_callback done)
{
  const auto octets = command.size();
  submit(
      [this, command = std::move(command), done]
      {
        start_proposal(command, done);
      },
      done, octets);
}

void log_runtime::confirm_read(read_callback done)
{
  submit(
      [this, done]
      {
        start_read(done);
      },
      done);
}

void log_runtime::change_group(std::vector<replica_address> group,
                               outcome_callback done)
{
  submit(
      [this, group = std::move(group), done]
      {
        start_change(group, done);
      },
      done);
}

void log_runtime::post(std::function<void()> task)
{
  queue_.push_unbounded(task);
}

void log_runtime::receive(std::string message)
{
  const auto octets = message.size();
  task_queue::task work = [this, message = std::move(message)]
  {
    handle_message(message);
  };
  queue_.push(work, octets);
}

void log_runtime::transfer_leadership()
{
  post(
      [this]
      {
        if (!closing_ && halted_.empty())
          core_->transfer_leadership(now_and_random());
      });
}

void log_runtime::start_proposal(const std::string& command,
                                 outcome_callback done)
{
  if (closing_)
    return done(stopped_error());
  if (!halted_.empty())
    return done(halted_error());
  if (leads() && !storage_full_.empty())
    return done(storage_error());
  if (leads() && !core_->members_in_memory().empty())
    if (const auto why = client_.refusal(status()))
      return done(*why);
  register_proposal(core_->propose(command), std::move(done));
}

void log_runtime::start_change(const std::vector<replica_address>& group,
                               outcome_callback done)
{
  if (closing_)
    return done(stopped_error());
  if (!halted_.empty())
    return done(halted_error());
  if (leads() && !storage_full_.empty())
    return done(storage_error());
  register_proposal(core_->change_group(group, now_and_random()),
                    std::move(done));
}

void log_runtime::register_proposal(const result<table_version>& position,
                                    outcome_callback done)
{
  if (!position)
    return done(position.error());
  const auto& [term, index] = position.value();
  proposals_[index] = {term, std::move(done)};
}

void log_runtime::start_read(read_callback done)
{
  if (closing_)
    return done(stopped_error());
  if (!halted_.empty())
    return done(halted_error());
  const auto id = next_read_id_++;
  if (auto accepted = core_->read(id, now_and_random()); !accepted)
    return done(accepted.error());
  reads_[id] = std::move(done);
}

void log_runtime::handle_message(const std::string& message)
{
  if (closing_ || !halted_.empty())
    return;
  const auto decoded = decode_message(message);
  if (decoded)
    core_->receive(decoded.value(), now_and_random());
  else
    ++malformed_messages_;
}

error log_runtime::halted_error() const
{
  return error{error_code::unavailable, "this instance halted: " + halted_};
}

error log_runtime::storage_error() const
{
  return error{error_code::storage_full,
               "this instance's disk is full: " + storage_full_};
}

replicated_log_status log_runtime::status() const
{
  replicated_log_status status;
  status.self = options_.self;
  status.halted = halted_;
  status.storage_full = storage_full_;
  if (halted_.empty())
    status.leader = core_->leader();
  status.leads = leads();
  status.term = core_->hard().term;
  status.commit_index = core_->commit_index();
  status.applied_index = core_->applied_index();
  status.last_index = core_->log().last().index;
  status.snapshot_index = core_->snapshot().position.index;
  status.group = core_->group().members;
  status.removed = core_->group_at(core_->applied_index()).removed;
  status.contact_ages = core_->contact_ages(monotonic_now());
  status.formats = core_->formats();
  status.in_memory = core_->members_in_memory();
  status.required_format = client_.required_format();
  status.malformed_messages = malformed_messages_;
  status.sent = sent_;
  return status;
}

result<std::unique_ptr<replicated_log>>
open_with_files(replicated_log_options options, log_client& client,
                std::unique_ptr<file_system> files)
{
  auto log = std::make_unique<log_runtime>(std::move(options), client,
                                           std::move(files));
  BOOST_OUTCOME_TRY(log->start());
  return std::unique_ptr<replicated_log>(std::move(log));
}

} // namespace toucanmill::log_detail

namespace toucanmill
{

result<stored_identity> read_stored_identity(const std::string& folder)
{
  return log_detail::read_stored_identity(*log_detail::make_posix_file_system(),
                                          folder);
}

result<void> clear_data_folder(const std::string& folder)
{
  return log_detail::clear_folder(*log_detail::make_posix_file_system(),
                                  folder);
}

result<std::unique_ptr<replicated_log>>
replicated_log::open(replicated_log_options options, log_client& client)
{
  auto files = options.folder.empty() ? log_detail::make_memory_file_system()
                                      : log_detail::make_posix_file_system();
  return log_detail::open_with_files(std::move(options), client,
                                     std::move(files));
}

} // namespace toucanmill
