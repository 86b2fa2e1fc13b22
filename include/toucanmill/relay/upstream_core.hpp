#ifndef TOUCANMILL_RELAY_UPSTREAM_CORE_HPP
#define TOUCANMILL_RELAY_UPSTREAM_CORE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/table/flow_list.hpp>

namespace toucanmill
{

/// Upstreams number their announcements from here.
inline constexpr std::uint64_t first_announcement = 1;

/// State that an upstream announces to the agent on its host.
struct upstream_announcement
{
  std::string instance; ///< usually new with each start; some restarts reuse it
  std::string service;
  endpoint address;
  std::string data_centre;
  std::uint32_t slots = 0; ///< number of requests it processes at once
  bool draining = false;
  duration cold_left{0};      ///< remaining warm-up time
  std::uint64_t sequence = 0; ///< increases within one start
  std::uint64_t born_ms = 0;  ///< Unix time of its start; 0: unknown
};

enum class announcement_verdict : std::uint8_t
{
  accepted,
  late,    ///< not known to be newer than the current state; ignored
  foreign, ///< for another service, address or data centre; ignored
  /// Says that an upstream drains, but is not known to come from one that may
  /// be the current start. Ignored, so it must not be acknowledged.
  unproven,
};

/// Tracks liveness, admission and the current start of the agent's upstream.
///
/// Calls may be delayed, lost or made by another writer, so a call that ends
/// the current start takes effect at once only if it proves to be newer, by a
/// later birth. Otherwise it takes effect once the current start is silent, or
/// the upstream returns a packet of an open flow.
class upstream_core
{
public:
  struct options
  {
    std::string service;
    endpoint address;
    /// Empty: upstreams of any data centre are accepted.
    std::string data_centre;
    /// An upstream that neither announces itself nor sends a packet for this
    /// long, four times the interval of its announcements, is considered dead.
    duration silence_limit = std::chrono::seconds(4);
    /// An upstream that leaves opening packets unanswered for this long gets no
    /// more of them until it sends a packet or an announcement.
    duration answer_limit = std::chrono::milliseconds(100);

    duration announcement_interval() const
    {
      return silence_limit / 4;
    }
  };

  explicit upstream_core(options chosen);

  /// `wall_clock_ms`: current Unix time, taken as the start time of an upstream
  /// that does not announce one.
  announcement_verdict announce(const upstream_announcement& value,
                                std::uint64_t wall_clock_ms, time_point now);

  /// The upstream announced that it ends. This takes effect at once if
  /// `idle`, which means that it drains and has no open flows. Otherwise it
  /// takes effect in settle_leave: the call may be of an earlier start.
  announcement_verdict leave(const std::string& instance, bool idle,
                             time_point now);

  /// Ends the current start if it has announced its end and has been silent
  /// since. Returns whether it ended now.
  bool settle_leave(time_point now);

  /// The upstream announced its end, and may still turn out to live.
  bool leave_is_pending() const
  {
    return leave_announced_.has_value();
  }

  /// The upstream sent a packet.
  void on_packet(time_point now);

  /// The upstream sent a packet of a flow that it accepted as the current
  /// start.
  void on_proof_of_life(time_point now);

  /// The upstream returned a packet of a flow that was open at the current
  /// start. If another start has announced itself, it becomes the current one;
  /// returns its announcement.
  std::optional<upstream_announcement> on_flow_lost(time_point now);

  /// An opening packet was delivered to the upstream.
  void on_opening_delivered(time_point now);

  /// Announced, not left, and heard from within silence_limit.
  bool present(time_point now) const;

  /// The upstream announced its end and has not shown since that it lives.
  bool is_leaving() const;

  /// True while the upstream admits new flows.
  bool admits(time_point now) const;

  /// The upstream drains or has left, by its current start or by one that may
  /// be newer.
  bool takes_no_new_flows() const
  {
    return left_ || draining() || competing_start_drains();
  }

  /// The upstream left; none of its flows exists any more.
  bool ended() const
  {
    return left_;
  }

  bool draining() const
  {
    return current_ && current_->draining;
  }

  std::uint32_t slots() const
  {
    return current_ ? current_->slots : 0;
  }

  /// The present start of the upstream.
  upstream_start start() const;

  /// Number of the latest announcement of the present start.
  std::uint64_t latest_announcement() const
  {
    return current_ ? current_->sequence : 0;
  }

  /// Whether the upstream has announced this start to this process from its
  /// beginning, or for half of silence_limit: late announcements may be of an
  /// earlier start.
  bool is_start_certain() const
  {
    return is_start_certain_;
  }

  /// Whether the current start has announced itself more than once.
  bool is_start_repeated() const
  {
    return announcements_ > 1;
  }

  /// Flows that the agent has seen first by this time are of the current start
  /// or an earlier one. A later flow may be of a start that has not announced
  /// itself yet, or has not replaced the current one.
  time_point accepted_until() const;

  /// Flows that the agent saw first before this time ended with the start
  /// before the current one.
  time_point ended_before() const
  {
    return ended_before_;
  }

  /// End of the upstream's warm-up.
  time_point cold_until() const
  {
    return cold_until_;
  }

  /// Incarnation of the upstream; increases with each start that it announces.
  incarnation life() const
  {
    return life_;
  }

  /// `known` is the latest life of this node that control knows. A lower own
  /// life is raised above it.
  void on_known_life(incarnation known);

private:
  duration proving_silence() const
  {
    return options_.announcement_interval() * 5 / 2;
  }
  /// Whether the current start sent neither an announcement nor a packet of its
  /// flows for so long that more than one announcement is missing.
  bool is_silent(time_point now) const
  {
    return now - last_proof_ >= proving_silence();
  }
  /// Whether another start, which may be the one that lives, drains and the
  /// current one has not announced itself since.
  bool competing_start_drains() const;
  bool is_foreign(const upstream_announcement& value) const;
  bool is_current(const upstream_announcement& value) const;
  bool has_ended(const upstream_start& start) const;
  /// Whether the announcement lacks a birth that another start states now.
  bool lacks_birth(const upstream_announcement& value, time_point now) const;
  /// Whether the current start may be of another writer, whose announcement
  /// lacks the birth that this one states.
  bool adds_birth(const upstream_announcement& value) const;
  /// Whether a start other than the current one replaces it at once.
  bool replaces_current(const upstream_announcement& value,
                        time_point now) const;
  /// Remembers the start as ended.
  void add_ended(const upstream_start& start);
  bool supersedes_silent_start(const upstream_announcement& value,
                               std::uint64_t wall_clock_ms, time_point now);
  /// `ended`: the start before is known to have ended.
  void begin_start(const upstream_announcement& value,
                   std::uint64_t wall_clock_ms, bool ended, time_point now);
  void take(const upstream_announcement& value, time_point now);

  /// Announcements of an older start would have to be later than this many
  /// starts.
  static constexpr std::size_t max_ended_starts = 16;
  static constexpr std::size_t max_competing_starts = 4;

  options options_;
  std::optional<upstream_announcement> current_;
  std::deque<upstream_start> ended_starts_; ///< the latest; oldest first

  /// A start that announces itself and is not known to be newer.
  struct competing_start
  {
    upstream_announcement value;     ///< latest
    std::uint64_t wall_clock_ms = 0; ///< when it came
    time_point first_heard;
    time_point last_heard;
    /// First announcement since the latest one of the current start.
    std::optional<time_point> uncontested_since;
    /// By a proof of life of the current start.
    bool contradicted = false;
  };
  competing_start& competing_start_of(const upstream_announcement& value,
                                      std::uint64_t wall_clock_ms,
                                      time_point now);

  std::deque<competing_start> competing_; ///< the one heard last is the last
  time_point ended_before_ = time_point::min();
  std::uint64_t announcements_ = 0; ///< of the current start, accepted
  time_point last_announced_; ///< latest announcement of the current start
  time_point last_proof_;     ///< also by packets of its flows
  /// Since last_proof_ the upstream has returned a packet of an open flow.
  bool flow_lost_ = false;
  incarnation life_;
  bool is_start_certain_ = false;
  time_point started_announcing_; ///< the present start, to this process
  bool left_ = false;
  std::optional<time_point> leave_announced_; ///< not in effect yet
  time_point last_heard_;
  time_point cold_until_;
  std::optional<time_point> unanswered_since_;
};

} // namespace toucanmill

#endif
