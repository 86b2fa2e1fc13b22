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
  late,    ///< older than the current state; ignored
  foreign, ///< for another service or address; ignored
};

/// Tracks liveness, admission and the current start of the agent's upstream.
class upstream_core
{
public:
  struct options
  {
    std::string service;
    endpoint address;
    /// An upstream that neither announces itself nor sends a packet for this
    /// long is considered dead.
    duration silence_limit = std::chrono::seconds(4);
    /// An upstream that leaves opening packets unanswered for this long gets no
    /// more of them until it sends a packet or an announcement.
    duration answer_limit = std::chrono::milliseconds(100);
  };

  explicit upstream_core(options chosen);

  /// `wall_clock_ms`: current Unix time, taken as the start time of an upstream
  /// that does not announce one.
  announcement_verdict announce(const upstream_announcement& value,
                                std::uint64_t wall_clock_ms, time_point now);

  /// The upstream announced that it ends.
  announcement_verdict leave(const std::string& instance, time_point now);

  /// The upstream sent a packet.
  void on_packet(time_point now);

  /// An opening packet was delivered to the upstream.
  void on_opening_delivered(time_point now);

  /// Announced, not left, and heard from within silence_limit.
  bool present(time_point now) const;

  /// True while the upstream admits new flows.
  bool admits(time_point now) const;

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

  /// Whether the upstream has announced this start to this process from its
  /// beginning, or for half of silence_limit: late announcements may be of an
  /// earlier start.
  bool is_start_certain() const
  {
    return is_start_certain_;
  }

  /// Time of the latest accepted announcement.
  time_point last_announced() const
  {
    return last_announced_;
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
  bool replaces_current(const upstream_announcement& value) const;
  /// Remembers the current start as ended.
  void end_current();
  bool supersedes_silent_start(const upstream_announcement& value,
                               time_point now);

  /// Announcements of an older start would have to be later than this many
  /// starts.
  static constexpr std::size_t max_ended_starts = 16;

  options options_;
  std::optional<upstream_announcement> current_;
  std::deque<upstream_start> ended_starts_; ///< the latest; oldest first

  /// Latest announcement of a start that appears older than the current one.
  std::optional<upstream_announcement> competing_start_;
  time_point last_announced_; ///< latest announcement of the current start
  incarnation life_;
  bool is_start_certain_ = false;
  time_point started_announcing_; ///< the present start, to this process
  bool left_ = false;
  time_point last_heard_;
  time_point cold_until_;
  std::optional<time_point> unanswered_since_;
};

} // namespace toucanmill

#endif
