#ifndef TOUCANMILL_SRC_LOG_GROUP_DRIVER_TEST_HPP
#define TOUCANMILL_SRC_LOG_GROUP_DRIVER_TEST_HPP

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "log_store.hpp"
#include "replica_core.hpp"
#include "simulated_files_test.hpp"

namespace toucanmill::log_detail
{

/// Defects to inject, to show that the checks of group_driver detect them.
struct protocol_defects
{
  bool acknowledge_before_sync = false;
  bool forget_votes = false;
  bool unconfirmed_reads = false;
};

/// Deterministic simulation of 3 to 5 replicas on simulated disks and a
/// simulated network. One seed determines all random events; the invariants of
/// the log are checked after every step.
class group_driver
{
public:
  explicit group_driver(std::uint64_t seed, protocol_defects defects = {});

  /// Injects random faults for this many steps of 10 ms, then checks that the
  /// group recovers without faults.
  void run(int steps);

  const std::vector<std::string>& violations() const
  {
    return violations_;
  }
  /// Number of times each kind of event happened.
  std::map<std::string, int> counts;

private:
  struct node
  {
    replica_address address;
    std::shared_ptr<simulated_disk> disk = std::make_shared<simulated_disk>();
    std::unique_ptr<simulated_file_system> files;
    std::unique_ptr<log_store> store;
    std::unique_ptr<replica_core> core; ///< null while crashed
    std::deque<persist_request> pending_persists;
    std::uint64_t applied = 0;
    std::string state;
    duration clock_offset{0};
    int restart_at = 0;
    bool wiped = false; ///< lost its disk permanently
  };
  struct read_request
  {
    replica_id at;
    std::uint64_t acknowledged = 0; ///< value when the read began
  };

  // group_driver_test.cpp: replicas, network and checks
  bool chance(double probability);
  std::uint64_t random_below(std::uint64_t limit);
  call_context context_of(const node& replica);
  void step();
  void start(node& replica);
  void crash(node& replica);
  void process(node& replica);
  void persist_one(node& replica);
  void restore(node& replica, const received_snapshot& snapshot);
  void apply(node& replica, const log_entry& entry);
  void finish_read(node& replica, const read_outcome& read);
  void snapshot_if_due(node& replica);
  void send(node& replica, outgoing_message& item);
  void deliver();
  void check();
  void check_logs(const node& left, const node& right);
  void add_violation(const std::string& text);
  node* leader();

  // group_faults_test.cpp: faults and operations
  void inject_random_faults();
  void random_fault(node& replica);
  void random_partition();
  void submit_operations();
  void repair_group(node& leader_node);
  bool tolerates_loss(const std::vector<replica_address>& group,
                      replica_id lost) const;
  void wipe(node& replica);
  bool replace_wiped(node& leader_node);
  void add_learner(node& leader_node, endpoint rpc);
  void recover();
  bool converged();

  std::mt19937_64 random_;
  protocol_defects defects_;
  std::size_t size_;
  bool long_partitions_; ///< 5 s on average instead of 1 s
  bool short_timeouts_;  ///< makes competing candidates likely
  std::map<replica_id, node> nodes_;
  std::vector<replica_address> initial_;
  std::uint64_t next_id_ = 1;
  int step_ = 0;
  bool faults_ = true;
  /// Messages in flight by the step of their delivery.
  std::multimap<int, std::pair<replica_id, std::string>> network_;
  std::set<std::pair<replica_id, replica_id>> blocked_; ///< from, to

  std::vector<log_entry> committed_;            ///< by index - 1
  std::vector<std::string> states_;             ///< expected after each index
  std::map<std::uint64_t, replica_id> leaders_; ///< by term
  /// Proposing replica by term and index.
  std::map<std::pair<std::uint64_t, std::uint64_t>, replica_id> proposals_;
  std::uint64_t acknowledged_ = 0; ///< highest index acknowledged to a caller
  std::map<std::uint64_t, read_request> reads_;
  std::uint64_t next_read_ = 1;
  std::uint64_t next_command_ = 1;
  std::vector<std::string> violations_;
};

} // namespace toucanmill::log_detail

#endif
