#ifndef TOUCANMILL_RELAY_UPSTREAM_CORE_HPP
#define TOUCANMILL_RELAY_UPSTREAM_CORE_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/time.hpp>

namespace toucanmill
{

/// What an upstream says of itself.
struct upstream_announcement
{
  std::string instance; ///< new with each start, but for some restarts
  std::string service;
  endpoint address;
  std::uint32_t slots = 0;
  bool draining = false;
  duration cold_left{0};      ///< it stays slow for this long
  std::uint64_t sequence = 0; ///< rises with each announcement of one start
  std::uint64_t born_ms = 0;  ///< Unix time of its start; 0: not said
};

enum class announcement_verdict : std::uint8_t
{
  accepted,
  late,    ///< overtaken by a newer one; changes nothing
  foreign, ///< of another service or address; changes nothing
};

/// What the agent knows of the upstream beside it.
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
    /// One that answers no opening packet for this long gets no more of them
    /// until it is heard again.
    duration answer_limit = std::chrono::milliseconds(100);
  };

  explicit upstream_core(options chosen);

  /// `wall_clock_ms`: Unix time, for the life of an upstream that does not say
  /// when it started.
  announcement_verdict announce(const upstream_announcement& value,
                                std::uint64_t wall_clock_ms, time_point now);

  /// The upstream says that it ends.
  announcement_verdict leave(const std::string& instance, time_point now);

  /// A packet of the upstream.
  void on_packet(time_point now);

  /// An opening packet was delivered to it.
  void on_opening_delivered(time_point now);

  /// Announced, not left, heard lately.
  bool present(time_point now) const;

  /// Takes new flows.
  bool admits(time_point now) const;

  /// It left, or another start took its place: no flow of before lives.
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

  /// Time until which the upstream is slow.
  time_point cold_until() const
  {
    return cold_until_;
  }

  /// Rises with each start of the upstream that was announced.
  incarnation life() const
  {
    return life_;
  }

  /// Control knows a later life under this node's id.
  void at_least_life(incarnation known);

private:
  bool replaces_current(const upstream_announcement& value) const;
  bool outlasts_current(const upstream_announcement& value, time_point now);

  options options_;
  std::optional<upstream_announcement> current_;
  std::string previous_instance_;

  /// Another start that announces itself and seems to be an earlier one.
  std::optional<upstream_announcement> rival_;
  time_point announced_; ///< latest announcement of the current start
  incarnation life_;
  bool left_ = false;
  time_point heard_;
  time_point cold_until_;
  std::optional<time_point> unanswered_since_;
};

} // namespace toucanmill

#endif
