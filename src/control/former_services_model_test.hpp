#ifndef TOUCANMILL_SRC_CONTROL_FORMER_SERVICES_MODEL_TEST_HPP
#define TOUCANMILL_SRC_CONTROL_FORMER_SERVICES_MODEL_TEST_HPP

// Routes that change their services, are removed and return, while balancers
// and agents are cut off and restarted and leaders of two builds follow each
// other. Flows stay on their upstreams, which all live.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/state_machine.hpp>
#include <toucanmill/relay/relay_core.hpp>
#include <toucanmill/relay/relay_table.hpp>

namespace toucanmill::former_services_test
{

/// What the model does wrong, to show that its check sees it.
enum class flaw
{
  none,
  former_services_unmarked, ///< as builds up to 43182d3
  flows_outlive_settlement,
};

class former_services_model
{
public:
  former_services_model(unsigned seed, flaw wrong);

  /// Lets a second pass in which something may happen.
  void take_step();

  /// The first flow that a balancer may reset though its upstream lives; empty
  /// if there was none.
  const std::string& fault() const
  {
    return fault_;
  }

  std::size_t flows_opened() const
  {
    return next_port_ - 1U;
  }

  /// Checks of a flow in which no list of former services was incomplete.
  std::size_t checks_by_lists() const
  {
    return checks_by_lists_;
  }

private:
  struct node
  {
    node_identity identity;
    table_version applied;
    unsigned cut_off_until = 0; ///< step number
    unsigned starts_at = 0;     ///< step number
    relay_table table;          ///< of a balancer
    std::unique_ptr<relay_core> agent;
    std::uint64_t announcements = 0;
  };

  struct open_flow
  {
    std::uint16_t port = 0;
    std::uint16_t address = 0; ///< number of its route's address
    endpoint agent;
    time_point opened;
  };

  bool one_in(unsigned count)
  {
    return random_() % count == 0;
  }
  bool runs(const node& value) const
  {
    return value.starts_at <= step_;
  }
  void apply(const command& value);
  void declare();
  void change_leader();
  void restart(node& value);
  void start_agent(node& value);
  void disturb(node& value);
  void update(node& value);
  void take(node& value, const table_update& from);
  void announce(node& value);
  void open();
  bool accepts(const relay_header& header, const endpoint& agent,
               const flow_packet& packet);
  void check();
  void check(const node& balancer, const open_flow& flow);
  table_update as_written(table_update value) const;

  std::mt19937 random_;
  flaw flaw_;
  unsigned step_ = 0;
  time_point now_;
  state_machine machine_;
  std::uint64_t index_ = 0;
  std::uint64_t version_ = 0;
  std::unique_ptr<membership_core> membership_;
  bool earlier_build_leads_ = false;
  std::vector<node> balancers_;
  std::vector<node> agents_;
  std::deque<open_flow> flows_;
  std::uint16_t next_port_ = 1;
  std::size_t checks_by_lists_ = 0;
  std::string fault_;
};

} // namespace toucanmill::former_services_test

#endif
