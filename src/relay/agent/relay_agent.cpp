#include <toucanmill/relay/relay_agent.hpp>

#include <array>
#include <chrono>
#include <cstring>
#include <utility>

#include <toucanmill/base/clock.hpp>
#include <toucanmill/net/packet_loop.hpp>
#include <toucanmill/net/udp_channel.hpp>

namespace toucanmill
{

namespace
{

constexpr duration tick_interval = std::chrono::seconds(1);

/// Interval between checks of held packets; less than a service time.
constexpr duration held_check_interval = std::chrono::milliseconds(20);

constexpr std::size_t max_packet_size = 2048; ///< octets

std::uint64_t wall_clock_ms()
{
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

class relay_agent_thread final : public relay_agent, private relay_sink
{
public:
  relay_agent_thread(relay_agent_options options, udp_channel data,
                     udp_channel outbound)
      : options_(std::move(options)), data_(std::move(data)),
        outbound_(std::move(outbound)), core_(options_.relay)
  {
    loop_.watch(data_.descriptor(),
                [this]
                {
                  return read_visits();
                });
    loop_.watch(outbound_.descriptor(),
                [this]
                {
                  return read_upstream();
                });
    loop_.every(tick_interval,
                [this]
                {
                  core_.on_tick(monotonic_now(), *this);
                });
    loop_.after_each_round(
        [this]
        {
          flush();
        });
    loop_.start();
  }

  ~relay_agent_thread() override
  {
    loop_.stop();
  }

  void set_configuration(configuration declared) override
  {
    loop_.post(
        [this, declared = std::move(declared)]
        {
          core_.set_configuration(declared);
        });
  }

  void set_bucket_count(std::size_t count) override
  {
    loop_.post(
        [this, count]
        {
          core_.set_bucket_count(count);
        });
  }

  void change_routes(route_changes changes) override
  {
    loop_.post(
        [this, changes = std::move(changes)]
        {
          core_.change_routes(changes);
        });
  }

  void set_evacuated(bool evacuated) override
  {
    loop_.post(
        [this, evacuated]
        {
          core_.set_evacuated(evacuated);
        });
  }

  void set_warm_up_rate(std::uint32_t flows) override
  {
    loop_.post(
        [this, flows]
        {
          core_.set_warm_up_rate(flows);
        });
  }

  bool announce(upstream_announcement value, verdict_callback done) override
  {
    return loop_.post(
        [this, value = std::move(value), done = std::move(done)]
        {
          done(core_.announce(value, wall_clock_ms(), monotonic_now(), *this));
        });
  }

  bool leave(std::string instance, verdict_callback done) override
  {
    return loop_.post(
        [this, instance = std::move(instance), done = std::move(done)]
        {
          done(core_.leave(instance, monotonic_now(), *this));
        });
  }

  void begin_stop() override
  {
    loop_.post(
        [this]
        {
          core_.set_stopping();
        });
  }

  void on_known_life(incarnation known) override
  {
    loop_.post(
        [this, known]
        {
          core_.upstream().on_known_life(known);
        });
  }

  void restore_flows(flow_list kept) override
  {
    loop_.post(
        [this, kept = std::move(kept)]
        {
          core_.restore_flows(kept, monotonic_now(), *this);
        });
  }

  flow_list list_flows() override
  {
    return loop_.call<flow_list>(
        [this]
        {
          return core_.list_flows(monotonic_now());
        });
  }

  relay_status status() override
  {
    return loop_.call<relay_status>(
        [this]
        {
          return core_.status(monotonic_now());
        });
  }

private:
  bool read_visits()
  {
    const auto now = monotonic_now();
    const auto count = data_.receive(
        [&](byte_view datagram, const endpoint&)
        {
          if (const auto message = decode_relay_message(datagram))
            core_.on_visit(*message, options_.codec->parse(message->packet),
                           now, *this);
        });
    return count == udp_channel::batch_size;
  }

  bool read_upstream()
  {
    const auto now = monotonic_now();
    const auto count = outbound_.receive(
        [&](byte_view datagram, const endpoint&)
        {
          core_.on_upstream_packet(datagram, options_.codec->parse(datagram),
                                   now, *this);
        });
    return count == udp_channel::batch_size;
  }

  /// Held packets become due even if no packet arrives, so the loop is woken
  /// for them.
  void check_held()
  {
    if (!core_.holds_packets())
      return;
    if (const auto now = monotonic_now(); now >= next_held_check_)
    {
      core_.serve_held(now, *this);
      next_held_check_ = now + held_check_interval;
    }
    loop_.wake_at(next_held_check_);
  }

  void flush()
  {
    check_held();
    data_.flush();
    outbound_.flush();
    if (const auto seen = core_.newest_seen();
        seen > core_.configuration_version() &&
        seen != requested_configuration_ && options_.on_newer_configuration)
    {
      requested_configuration_ = seen;
      options_.on_newer_configuration();
    }
  }

  /// Copies the packet to scratch_, where it can be modified.
  byte_view copy(byte_view packet)
  {
    const auto size = std::min(packet.size, scratch_.size());
    std::memcpy(scratch_.data(), packet.data, size);
    return {scratch_.data(), size};
  }

  void deliver(byte_view packet, std::uint32_t tag) override
  {
    const auto tagged = copy(packet);
    options_.codec->set_tag(scratch_.data(), tag);
    outbound_.send(options_.relay.upstream.address, {}, tagged);
  }

  void send(const endpoint& to, const relay_header& header,
            byte_view packet) override
  {
    const auto restored = copy(packet);
    if (header.kind != relay_kind::found && !header.locates)
      options_.codec->clear_marks(scratch_.data());
    data_.send(to, encode(header).view(), restored);
  }

  void reply(const endpoint& caller, byte_view packet) override
  {
    data_.send({caller.address, options_.caller_port}, {}, packet);
  }

  void reset(const flow_key& flow, std::uint32_t sequence) override
  {
    const auto packet = options_.codec->make_reset(flow, sequence);
    data_.send({flow.caller.address, options_.caller_port}, {},
               {packet.data(), packet.size()});
  }

  void record(const relay_decision& value) override
  {
    if (options_.on_decision)
      options_.on_decision(value);
  }

  void record_latency(relay_timing what, duration taken) override
  {
    if (options_.on_latency)
      options_.on_latency(what, taken);
  }

  const relay_agent_options options_;
  udp_channel data_;
  udp_channel outbound_;
  relay_core core_;
  std::uint64_t requested_configuration_ = 0;
  time_point next_held_check_;
  std::array<std::uint8_t, max_packet_size> scratch_{};
  packet_loop loop_;
};

} // namespace

result<std::unique_ptr<relay_agent>>
relay_agent::start(relay_agent_options options)
{
  BOOST_OUTCOME_TRY(data, udp_channel::open(options.data));
  BOOST_OUTCOME_TRY(outbound, udp_channel::open(options.outbound));
  options.relay.started = monotonic_now();
  return std::unique_ptr<relay_agent>(std::make_unique<relay_agent_thread>(
      std::move(options), std::move(data), std::move(outbound)));
}

} // namespace toucanmill
