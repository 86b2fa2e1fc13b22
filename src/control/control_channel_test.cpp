#include <toucanmill/control/control_channel.hpp>

#include <CppUTest/TestHarness.h>

#include <optional>

#include <kj/async-io.h>

using namespace toucanmill;

namespace
{

/// Answers calls of status only.
class status_server_stub final : public schema::Control::Server
{
public:
  kj::Promise<void> status(StatusContext context) override
  {
    context.getResults().initStatus().setTerm(1);
    return kj::READY_NOW;
  }
};

/// A control instance and its endpoint in the event loop of the test.
class local_instance
{
public:
  explicit local_instance(kj::AsyncIoContext& io)
      : server_(kj::heap<status_server_stub>())
  {
    auto address = io.provider->getNetwork()
                       .parseAddress("127.0.0.1", 0)
                       .wait(io.waitScope);
    auto receiver = address->listen();
    at = {{0x7f000001}, static_cast<std::uint16_t>(receiver->getPort())};
    task_ = server_.listen(*receiver).attach(kj::mv(receiver));
  }

  endpoint at;

private:
  capnp::TwoPartyServer server_;
  kj::Promise<void> task_ = nullptr;
};

/// Term of the status; none if the call fails.
std::optional<std::uint64_t> term_from(schema::Control::Client client,
                                       kj::WaitScope& scope)
{
  return client.statusRequest()
      .send()
      .then(
          [](auto&& response)
          {
            return std::optional<std::uint64_t>(response.getStatus().getTerm());
          },
          [](kj::Exception&&)
          {
            return std::optional<std::uint64_t>();
          })
      .wait(scope);
}

} // namespace

TEST_GROUP(control_channel){};

// Guards against calls that close each other's connections: the connection of
// a second call, opened while the first one connected, replaced that of the
// first.
TEST(control_channel, calls_during_a_connection_attempt_share_it)
{
  auto io = kj::setupAsyncIo();
  local_instance instance(io);
  control_channel channel(io, {instance.at});
  auto first = channel.client();
  auto second = channel.client();
  auto first_client = first.wait(io.waitScope);
  auto second_client = second.wait(io.waitScope);
  CHECK_TRUE(term_from(first_client, io.waitScope).has_value());
  CHECK_TRUE(term_from(second_client, io.waitScope).has_value());
}

// Guards against a connection to the next instance that is closed by the late
// failure of a call to the one before.
TEST(control_channel, late_failure_keeps_the_next_connection)
{
  auto io = kj::setupAsyncIo();
  local_instance one(io);
  local_instance other(io);
  control_channel channel(io, {one.at, other.at});
  const auto used = channel.generation();
  channel.client().wait(io.waitScope);
  channel.select_next_instance(used);
  auto client = channel.client().wait(io.waitScope);
  channel.select_next_instance(used);
  CHECK_TRUE(term_from(client, io.waitScope).has_value());
}
