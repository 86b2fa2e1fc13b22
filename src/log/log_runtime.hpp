#ifndef TOUCANMILL_SRC_LOG_LOG_RUNTIME_HPP
#define TOUCANMILL_SRC_LOG_LOG_RUNTIME_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "file_system.hpp"
#include "log_store.hpp"
#include "replica_core.hpp"
#include "task_queue.hpp"
#include <toucanmill/log/replicated_log.hpp>

namespace toucanmill::log_detail
{

/// Runs the replica core on a thread. Only that thread accesses the members,
/// except for the queue.
class log_runtime : public replicated_log
{
public:
  log_runtime(replicated_log_options options, log_client& client,
              std::unique_ptr<file_system> files);
  ~log_runtime() override;

  /// Starts the thread, which opens the data folder and restores the state
  /// machine; returns when it has.
  result<void> start();

  void propose(std::string command, outcome_callback done) override;
  void confirm_read(read_callback done) override;
  void post(std::function<void()> task) override;
  void receive(std::string message) override;
  void change_group(std::vector<replica_address> group,
                    outcome_callback done) override;
  void transfer_leadership() override;
  replicated_log_status status() const override;
  void stop() override;

private:
  struct proposal
  {
    std::uint64_t term = 0;
    outcome_callback done;
  };

  void run(std::promise<result<void>>& started);
  result<void> recover();
  void tick_if_due();
  void perform_actions();
  void send(outgoing_message& outgoing);
  void apply(const log_entry& entry);
  void check_client();
  void halt(const error& why);
  void end_pending(const error& why);
  error halted_error() const;
  bool leads() const;
  void complete_read(const read_outcome& read);
  void persist(persist_request request);
  void write_unsaved();
  bool check_storage(const result<void>& written);
  void retry_storage_if_due();
  result<void> resume_storage();
  error storage_error() const;
  void announce_leadership();
  void announce_leadership_loss();
  void fail_lost_proposals();
  void snapshot_if_due();
  result<void> continue_snapshot();
  time_point core_tick_time() const;
  duration time_to_wakeup() const;
  void close();
  void start_proposal(const std::string& command, outcome_callback done);
  void start_read(read_callback done);
  void start_change(const std::vector<replica_address>& group,
                    outcome_callback done);
  void register_proposal(const result<table_version>& position,
                         outcome_callback done);
  void handle_message(const std::string& message);
  template <class Callback>
  void submit(task_queue::task work, const Callback& done,
              std::size_t octets = 0);
  call_context now_and_random();
  table_version applied_position() const;

  replicated_log_options options_;
  log_client& client_;
  std::unique_ptr<file_system> files_;
  task_queue queue_;
  std::thread thread_;

  std::unique_ptr<log_store> store_;
  std::unique_ptr<replica_core> core_;
  std::mt19937_64 random_;
  std::map<std::uint64_t, proposal> proposals_;  ///< by index
  std::map<std::uint64_t, read_callback> reads_; ///< by read id
  std::uint64_t next_read_id_ = 1;
  /// Term in which the client was told that it is leader; 0: it is not.
  std::uint64_t announced_term_ = 0;
  std::uint64_t bytes_since_snapshot_ = 0;
  std::uint64_t malformed_messages_ = 0;
  std::vector<sent_messages> sent_{
      {"vote"}, {"append"}, {"heartbeat"}, {"snapshot"}};
  time_point next_tick_;
  time_point next_client_tick_;
  std::deque<persist_request> unsaved_; ///< wait for room on the disk
  /// Sequence of the request that the store has got and not completed; 0: none.
  std::uint64_t saving_ = 0;
  std::string storage_full_; ///< reason; empty: writes do not wait for room
  time_point next_storage_retry_;
  bool closing_ = false;
  std::string halted_; ///< reason; empty: this instance takes part
};

/// replicated_log::open() with the given file operations, for tests.
result<std::unique_ptr<replicated_log>>
open_with_files(replicated_log_options options, log_client& client,
                std::unique_ptr<file_system> files);

} // namespace toucanmill::log_detail

#endif
