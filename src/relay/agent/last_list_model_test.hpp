#ifndef TOUCANMILL_SRC_RELAY_AGENT_LAST_LIST_MODEL_TEST_HPP
#define TOUCANMILL_SRC_RELAY_AGENT_LAST_LIST_MODEL_TEST_HPP

// An upstream, the processes of the agent beside it, which stop as planned or
// are killed, and the instances that keep their lists of flows.

#include "relay_visit_test.hpp"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanmill::relay_test
{

/// What happens in a quarter of the interval between two announcements.
enum class list_step : std::uint8_t
{
  none,
  stop,             ///< planned: the agent stops after the next announcement
  kill,             ///< the agent ends at once
  open_flow,        ///< the whole handshake
  begin_flow,       ///< the accepting packet; the rest comes later
  finish_flow,      ///< of one that has begun
  end_flow,         ///< the upstream alone knows
  restart_upstream, ///< it crashes and starts again
  lose_call,        ///< the next announcement does not come
  lose_list,        ///< the next list does not reach its keeper
  read_older_list,  ///< the next process gets any list that was ever kept
  stay_down,        ///< the next process starts late
};
inline constexpr std::size_t list_step_count = 12;

/// What the model does wrong, to show that its check sees it.
enum class list_fault
{
  none,
  calls_share_their_number, ///< two calls in a row
};

class last_list_model final : private relay_sink
{
public:
  struct options
  {
    bool states_birth = true;
    bool reuses_id = false; ///< each start of the upstream has the same id
    list_fault fault = list_fault::none;
  };

  explicit last_list_model(options chosen);

  void take(list_step step);

  /// An open flow that the agent denies; empty if there was none.
  const std::string& denied() const
  {
    return denied_;
  }

  /// Packets of flows of other upstreams that the agent gave to this one.
  std::size_t misplaced() const
  {
    return misplaced_;
  }

  /// Processes that followed one that stopped as planned.
  std::size_t planned_starts() const
  {
    return planned_starts_;
  }

  /// Those of them that knew all flows an interval after their start.
  std::size_t informed_starts() const
  {
    return informed_starts_;
  }

private:
  static constexpr duration interval = 1s;
  static constexpr duration step_length = interval / 4;

  void start_agent();
  void end_agent(duration down_for);
  void keep_list();
  void start_upstream();
  void announce();
  void visit_with(const flow_packet& packet);
  void begin_flow();
  void finish_flow();
  void search_for_other_flow();
  void check();
  void check_start();

  void deliver(byte_view packet, std::uint32_t tag) override;
  void send(const endpoint&, const relay_header& header, byte_view) override;
  void reply(const endpoint&, byte_view) override {}
  void reset(const flow_key&, std::uint32_t) override {}
  void record(const relay_decision&) override {}
  void record_latency(relay_timing, duration) override {}

  options options_;
  time_point now_ = start;
  std::unique_ptr<relay_core> agent_;
  bool stopping_ = false;
  bool stopped_as_planned_ = false;
  time_point starts_at_;                  ///< the next process
  std::optional<time_point> check_start_; ///< of the present process
  duration extra_down_{0};
  std::vector<flow_list> kept_;
  bool reads_older_ = false;
  bool loses_list_ = false;
  bool loses_call_ = false;

  std::size_t upstream_starts_ = 0;
  std::uint64_t born_ms_ = 0;
  std::uint64_t calls_ = 0; ///< of the present start
  time_point next_call_;
  std::set<std::uint16_t> begun_; ///< ports of half-open flows
  std::set<std::uint16_t> open_;
  std::uint16_t next_port_ = 1;
  bool delivered_ = false; ///< the packet of the latest visit
  std::uint32_t tag_ = 0;
  bool was_denied_ = false;

  std::size_t misplaced_ = 0;
  std::size_t planned_starts_ = 0;
  std::size_t informed_starts_ = 0;
  std::string denied_;
};

} // namespace toucanmill::relay_test

#endif
