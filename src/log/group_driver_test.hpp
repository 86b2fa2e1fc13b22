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
#include "memory_files_test.hpp"
#include "replica_core.hpp"

namespace toucanmill::log_detail
{

/// Mechanisms to disable, to show that the invariants notice.
struct broken_variant
{
  bool acknowledge_before_sync = false;
  bool forget_votes = false;
  bool unconfirmed_reads = false;
};

/// Runs 3 to 5 replicas over fake disks and a fake network, all drawn from one
/// seed, and checks the promises of the log after every step.
class group_driver
{
public:
  explicit group_driver(std::uint64_t seed, broken_variant broken = {});

  /// Random faults for this many steps of 10 ms, then recovery without faults.
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
    std::shared_ptr<memory_disk> disk = std::make_shared<memory_disk>();
    std::unique_ptr<memory_file_system> files;
    std::unique_ptr<log_store> store;
    std::unique_ptr<replica_core> core; ///< null: crashed
    std::deque<persist_request> unsaved;
    std::uint64_t applied = 0;
    std::string state;
    duration clock_offset{0};
    int restart_at = 0;
    bool wiped = false;
  };
  struct read_request
  {
    replica_id at;
    std::uint64_t acknowledged = 0; ///< highest index acknowledged before
  };

  // group_driver_test.cpp: the replicas
  bool chance(double probability);
  std::uint64_t draw(std::uint64_t limit);
  moment at(const node& replica);
  void step();
  void start(node& replica);
  void crash(node& replica);
  void process(node& replica);
  void save_one(node& replica);
  void restore(node& replica, const received_snapshot& snapshot);
  void apply(node& replica, const log_entry& entry);
  void finish_read(node& replica, const read_outcome& read);
  void snapshot_if_due(node& replica);
  void send(node& replica, outgoing_message& item);
  void deliver();
  void check();
  void check_logs(const node& left, const node& right);
  void violation(const std::string& text);
  node* leader();

  // group_faults_test.cpp: the events
  void random_events();
  void random_fault(node& replica);
  void random_partition();
  void operate();
  void repair_group(node& leading);
  bool tolerates_loss(const std::vector<replica_address>& group,
                      replica_id lost) const;
  void wipe(node& replica);
  void add_learner(node& leading);
  void recover();
  bool settled();

  std::mt19937_64 random_;
  broken_variant broken_;
  std::size_t size_;
  bool long_partitions_; ///< 5 s on average instead of 1 s
  bool short_timeouts_;  ///< makes several candidates in a term likely
  std::map<replica_id, node> nodes_;
  std::vector<replica_address> initial_;
  std::uint64_t next_id_ = 1;
  int step_ = 0;
  bool faults_ = true;
  std::multimap<int, std::pair<replica_id, std::string>> network_;
  std::set<std::pair<replica_id, replica_id>> blocked_;

  std::vector<log_entry> committed_; ///< by index - 1
  std::vector<std::string> states_;  ///< after each index
  std::map<std::uint64_t, replica_id> leaders_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, replica_id> proposals_;
  std::uint64_t acknowledged_ = 0;
  std::map<std::uint64_t, read_request> reads_;
  std::uint64_t next_read_ = 1;
  std::uint64_t next_command_ = 1;
  std::vector<std::string> violations_;
};

} // namespace toucanmill::log_detail

#endif
