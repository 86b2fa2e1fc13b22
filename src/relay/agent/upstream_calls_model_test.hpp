#ifndef TOUCANMILL_SRC_RELAY_AGENT_UPSTREAM_CALLS_MODEL_TEST_HPP
#define TOUCANMILL_SRC_RELAY_AGENT_UPSTREAM_CALLS_MODEL_TEST_HPP

// Starts of an upstream at one address, their calls, which are lost, late or
// repeated, and the agent beside them, which also gets calls of others.

#include "relay_visit_test.hpp"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace toucanmill::relay_test
{

/// What happens in an interval between two announcements.
enum class upstream_step : std::uint8_t
{
  none,
  start_with_other_id, ///< the start before crashes
  start_with_same_id,
  call_is_late, ///< the next call comes with deliver_late
  call_is_lost,
  call_comes_twice,
  deliver_late, ///< all late calls, in their order
  drain,
  leave,
  leave_is_late,
  foreign_call,
  restart_agent,
  set_clock_back,
};
inline constexpr std::size_t upstream_step_count = 13;

/// Whether starts state their birth.
enum class births
{
  all,
  none,
  alternating,
};

/// What the model does wrong, to show that its checks see it.
enum class upstream_flaw
{
  none,
  late_calls_state_a_later_birth,
  foreign_calls_state_a_birth,
};

class upstream_calls_model final : private relay_sink
{
public:
  struct options
  {
    births stated = births::all;
    bool busy = true; ///< flows carry a packet in each interval
    upstream_flaw flaw = upstream_flaw::none;
  };

  explicit upstream_calls_model(options chosen) : options_(chosen)
  {
    start_agent();
    begin_start("i-0");
    announce();
    open_flow();
  }

  /// Takes the step, then lets an interval pass.
  void take(upstream_step step);

  /// Until everything that is stated has to hold.
  void settle()
  {
    for (std::size_t i = 0; i <= settled_after; ++i)
      take(upstream_step::none);
  }

  /// Each is a fault of the agent; empty if there was none.
  const std::string& fault() const
  {
    return fault_;
  }

private:
  static constexpr duration interval = 1s;
  /// Upstreams serve on for at least this long after an acknowledged draining.
  static constexpr duration drain_limit = 5 * interval / 2;
  /// A start is served, and one that has left is not, after this many intervals
  /// without a disturbance: silence_limit and the interval in which it begins.
  static constexpr std::size_t settled_after = 5;

  struct upstream
  {
    std::string id;
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    bool draining = false;
    bool drain_accepted = false; ///< by the present process of the agent
    /// By the present process of the agent, for the first time.
    std::optional<time_point> drain_acknowledged;
    std::set<std::uint16_t> flows;
  };

  struct call
  {
    std::optional<upstream_announcement> announced; ///< none: the end
    std::string id;
  };

  void start_agent();
  void begin_start(const std::string& id);
  void announce();
  void note_answer_to_drain(announcement_verdict verdict);
  announcement_verdict deliver(const call& value);
  void deliver_late();
  void leave(bool is_late);
  void call_by_another_writer();
  upstream_announcement announcement_of(const upstream& of) const;
  void open_flow();
  void use_flows();
  bool visit_with(const flow_packet& packet);
  void answer_packets();
  void respond(std::uint16_t port, bool opens, std::uint32_t tag);
  void check_service();
  void fail(const std::string& what);
  std::uint64_t wall_clock_ms() const;

  // What the agent does.
  void deliver(byte_view packet, std::uint32_t tag) override;
  void send(const endpoint&, const relay_header&, byte_view) override {}
  void reply(const endpoint&, byte_view) override {}
  void reset(const flow_key& flow, std::uint32_t) override;
  void record(const relay_decision&) override {}
  void record_latency(relay_timing, duration) override {}

  struct delivered
  {
    std::uint16_t port = 0;
    bool opens = false;
    std::uint32_t tag = 0;
  };

  options options_;
  time_point now_ = start;
  duration clock_offset_{0};
  std::size_t starts_ = 0;
  std::optional<upstream> living_;
  std::optional<upstream_announcement> latest_; ///< delivered in time
  std::vector<call> late_;
  enum class passage
  {
    in_time,
    late,
    lost,
    twice,
  };
  passage next_ = passage::in_time;
  bool last_was_missing_ = false;
  std::size_t quiet_ = 0; ///< intervals without a disturbance
  std::uint16_t next_port_ = 1;
  std::deque<delivered> packets_;
  bool opening_reached_upstream_ = false;
  flow_list kept_;
  std::unique_ptr<relay_core> agent_;
  std::string fault_;
};

} // namespace toucanmill::relay_test

#endif
