#include <toucanmill/agent/session_core.hpp>

#include <utility>

namespace toucanmill
{

namespace
{

/// Relays bytes in both directions without parsing them. The first input opens
/// the upstream connection; bytes that arrive before it is open are buffered.
class stream_session final : public session_core
{
public:
  std::vector<session_action> handle(session_input input, time_point) override
  {
    if (phase_ == phase::initial)
      connect();
    if (phase_ != phase::closed)
      std::visit(
          [this](auto& value)
          {
            on(value);
          },
          input);
    return std::exchange(actions_, {});
  }

  bool busy() const override
  {
    return phase_ == phase::connecting || phase_ == phase::open;
  }

  std::size_t buffered_from_caller() const override
  {
    return pending_bytes_.size();
  }

private:
  enum class phase
  {
    initial,
    connecting,
    open,
    closed,
  };

  void connect()
  {
    phase_ = phase::connecting;
    actions_.emplace_back(connect_upstream{});
  }

  void close()
  {
    phase_ = phase::closed;
    pending_bytes_.clear();
  }

  void reset()
  {
    actions_.emplace_back(reset_caller{});
    close();
  }

  void close_when_both_finished()
  {
    if (caller_finished_ && upstream_finished_)
      close();
  }

  void on(caller_bytes& value)
  {
    if (caller_finished_ || value.bytes.empty())
      return;
    if (phase_ == phase::open)
      actions_.emplace_back(send_to_upstream{std::move(value.bytes)});
    else
      pending_bytes_ += value.bytes;
  }

  void on(caller_finished&)
  {
    if (std::exchange(caller_finished_, true) || phase_ != phase::open)
      return;
    actions_.emplace_back(finish_upstream{});
    close_when_both_finished();
  }

  void on(caller_disconnected&)
  {
    actions_.emplace_back(close_upstream{});
    close();
  }

  void on(upstream_connected&)
  {
    if (phase_ != phase::connecting)
      return;
    phase_ = phase::open;
    if (!pending_bytes_.empty())
      actions_.emplace_back(
          send_to_upstream{std::exchange(pending_bytes_, {})});
    if (caller_finished_)
      actions_.emplace_back(finish_upstream{});
  }

  void on(upstream_refused&)
  {
    reset();
  }

  void on(upstream_bytes& value)
  {
    if (phase_ == phase::open && !upstream_finished_)
      actions_.emplace_back(send_to_caller{std::move(value.bytes)});
  }

  void on(upstream_finished&)
  {
    if (phase_ != phase::open || std::exchange(upstream_finished_, true))
      return;
    actions_.emplace_back(finish_caller{});
    close_when_both_finished();
  }

  void on(upstream_disconnected&)
  {
    reset();
  }

  template <class Other>
  void on(Other&)
  {
  }

  phase phase_ = phase::initial;
  bool caller_finished_ = false;
  bool upstream_finished_ = false;
  std::string pending_bytes_;
  std::vector<session_action> actions_;
};

} // namespace

std::unique_ptr<session_core> make_stream_session()
{
  return std::make_unique<stream_session>();
}

} // namespace toucanmill
