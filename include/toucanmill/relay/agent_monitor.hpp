#ifndef TOUCANMILL_RELAY_AGENT_MONITOR_HPP
#define TOUCANMILL_RELAY_AGENT_MONITOR_HPP

#include <map>
#include <optional>
#include <set>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill
{

using agent_set = std::set<endpoint>;

/// Finds agents that do not answer this balancer, sooner than their leases
/// expire. An answer to a probe comes from the probed agent itself; a packet
/// that visits several agents shows nothing about any one of them.
class agent_monitor
{
public:
  struct options
  {
    /// Least timeout; shorter than the time between two attempts to find a
    /// flow, so that the attempt after a probe takes its result into account.
    duration answer_timeout = std::chrono::milliseconds(80);
    /// Limit of the timeout that follows the measured answer times: half of the
    /// time in which an open flow must reach its agent.
    duration max_answer_timeout = std::chrono::seconds(1);
    /// An unresponsive agent without further probes is forgotten after this
    /// time; longer than a lease and the election of a leader, after which the
    /// table marks the agent.
    duration retention = std::chrono::seconds(10);
  };

  explicit agent_monitor(options chosen) : options_(chosen) {}

  /// A packet that the agent must answer was sent to it.
  void on_probe(const endpoint& agent, time_point now);

  /// The agent sent a message.
  void on_message(const endpoint& agent);

  /// The agent answered; measures the time since its probe.
  void on_answer(const endpoint& agent, time_point now);

  /// A question that was sent then is answered. All answers are late when the
  /// balancer's own link is full, which shows nothing about a single agent.
  void on_question_answered(time_point sent, time_point now);

  /// Time after which an answer counts as missing: one and a half times the
  /// recent answer times, within the limits of the options.
  duration answer_timeout() const;

  /// Time after which a question counts as lost: the mean answer time and a
  /// margin, within the limits of the options. A single late answer changes it
  /// little.
  duration loss_timeout() const;

  /// Whether an answer to a question of that time or later has come. If not,
  /// all answers are late, which shows nothing about a single agent.
  bool has_answered_since(time_point at) const;

  /// Agents with a probe that is unanswered for longer than answer_timeout().
  agent_set unresponsive(time_point now) const;

  /// Those of them whose probe is no newer than one that another agent
  /// answered: the answer is missing though the balancer's link delivers
  /// others.
  agent_set silent(time_point now) const;

  /// Forgets old probes; call once a second.
  void on_tick(time_point now);

private:
  struct unanswered_probes
  {
    time_point first;
    time_point latest;
  };

  void on_answer_time(duration taken);
  bool is_overdue(const unanswered_probes& probes, time_point now) const;

  options options_;
  time_point answered_probe_;    ///< when the latest answered one was sent
  duration answer_time_{0};      ///< recent maximum; falls by 1/8 per answer
  duration mean_answer_time_{0}; ///< moving mean, 1/8 of each answer time
  /// When the latest question with an answer was sent.
  std::optional<time_point> answered_question_;
  std::map<endpoint, unanswered_probes> unanswered_;
};

} // namespace toucanmill

#endif
