#include "peer_links.hpp"

#include <CppUTest/TestHarness.h>

#include <capnp/rpc-twoparty.h>

#include <toucanmill/base/socket_address.hpp>

using namespace toucanmill;
using namespace toucanmill::detail;

namespace
{

/// Receives messages and acknowledges none of them.
class silent_instance final : public schema::Control::Server
{
public:
  explicit silent_instance(std::vector<std::size_t>& sizes) : sizes_(sizes) {}

protected:
  kj::Promise<void> step(StepContext context) override
  {
    sizes_.push_back(context.getParams().getMessage().size());
    return kj::NEVER_DONE;
  }

private:
  std::vector<std::size_t>& sizes_;
};

} // namespace

TEST_GROUP(peer_links){};

// Guards against copies of a large entry that pile up for an instance that is
// slow or frozen; with several such instances control exceeded its memory
// limit. Heartbeats must still pass, or the instance starts an election.
TEST(peer_links, large_messages_in_flight_are_limited)
{
  auto io = kj::setupAsyncIo();
  std::vector<std::size_t> sizes;
  capnp::TwoPartyServer server(kj::heap<silent_instance>(sizes));
  auto address =
      io.provider->getNetwork().parseAddress("127.0.0.1").wait(io.waitScope);
  auto listener = address->listen();
  auto listening = server.listen(*listener);
  replica_address to;
  to.rpc = {{0x7F000001}, static_cast<std::uint16_t>(listener->getPort())};

  std::atomic<std::uint64_t> lost{0};
  peer_links links(io, lost);
  const std::string large(400'000, 'x');
  const std::string small(100, 'x');
  const auto wait = [&]
  {
    io.provider->getTimer()
        .afterDelay(100 * kj::MILLISECONDS)
        .wait(io.waitScope);
  };
  links.send(to, small);
  wait();
  for (int i = 0; i < 5; ++i)
    links.send(to, large);
  links.send(to, small);
  wait();
  CHECK_EQUAL(3U, lost.load());
  const std::vector<std::size_t> expected = {100, 400'000, 400'000, 100};
  CHECK_TRUE(sizes == expected);
}
