#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/base/invariant.hpp>

using namespace toucanmill;

namespace
{

/// Reads the fuzzer's octets as inputs of a session.
class input_reader
{
public:
  input_reader(const std::uint8_t* data, std::size_t size)
      : rest_(reinterpret_cast<const char*>(data), size)
  {
  }

  bool empty() const
  {
    return rest_.empty();
  }

  session_input next()
  {
    switch (take() % 16)
    {
    case 0:
      return caller_finished{};
    case 1:
      return upstream_connected{};
    case 2:
      return upstream_refused{};
    case 3:
      return upstream_finished{};
    case 4:
      return upstream_disconnected{};
    case 5:
      return slot_granted{};
    case 6:
      return slot_refused{std::chrono::seconds(1)};
    case 7:
      return claim_decided{static_cast<claim_status>(take() % 5), text()};
    case 8:
      return claim_recorded{take() % 2 == 0};
    case 9:
      return timer_expired{};
    case 10:
      return drain_started{};
    case 11:
    case 12:
    case 13:
      return upstream_bytes{text()};
    default:
      return caller_bytes{text()};
    }
  }

private:
  std::uint8_t take()
  {
    if (rest_.empty())
      return 0;
    const auto octet = static_cast<std::uint8_t>(rest_[0]);
    rest_.remove_prefix(1);
    return octet;
  }

  std::string text()
  {
    const auto size = std::min<std::size_t>(take(), rest_.size());
    const std::string bytes(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return bytes;
  }

  std::string_view rest_;
};

/// What a session asked for and has not given back.
struct held_resources
{
  bool slot = false;
  bool upstream = false;
  bool caller_open = true;

  void on(const session_action& action)
  {
    if (std::holds_alternative<request_slot>(action))
      slot = true;
    if (std::holds_alternative<release_slot>(action))
      slot = false;
    if (std::holds_alternative<connect_upstream>(action))
      upstream = true;
    if (std::holds_alternative<close_upstream>(action))
      upstream = false;
    if (std::holds_alternative<finish_caller>(action) ||
        std::holds_alternative<reset_caller>(action))
      caller_open = false;
    else
      TOUCANMILL_INVARIANT(caller_open ||
                               !std::holds_alternative<send_to_caller>(action),
                           "bytes follow the end of the answers");
  }
};

void give(session_core& session, held_resources& held,
          const session_input& input, time_point now)
{
  if (std::holds_alternative<slot_refused>(input))
    held.slot = false;
  if (std::holds_alternative<upstream_refused>(input) ||
      std::holds_alternative<upstream_disconnected>(input))
    held.upstream = false;
  for (const auto& action : session.handle(input, now))
    held.on(action);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
  retry_budget budget{0.1};
  const auto session = make_http_session({}, budget);
  input_reader inputs(data, size);
  held_resources held;
  time_point now;
  while (!inputs.empty())
  {
    now += std::chrono::milliseconds(100);
    give(*session, held, inputs.next(), now);
  }
  give(*session, held, caller_disconnected{}, now);
  TOUCANMILL_INVARIANT(!held.slot && !held.upstream && !session->busy(),
                       "an ended session holds nothing");
  return 0;
}
