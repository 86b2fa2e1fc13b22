#include "peer_links.hpp"

#include <CppUTest/TestHarness.h>

#include <capnp/rpc-twoparty.h>

#include <toucanmill/base/socket_address.hpp>

using namespace toucanmill;
using namespace toucanmill::detail;

namespace
{

/// Receives messages and acknowledges them only when told to.
class slow_instance final : public schema::Control::Server
{
public:
  struct record
  {
    std::vector<std::size_t> sizes;              ///< of all received messages
    std::vector<std::size_t> decompressed_sizes; ///< as announced
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> unacknowledged;
    bool accepts_compressed = false;
    bool refuses_compressed = false;
  };

  explicit slow_instance(record& received) : received_(received) {}

protected:
  kj::Promise<void> step(StepContext context) override
  {
    const auto params = context.getParams();
    received_.sizes.push_back(params.getMessage().size());
    received_.decompressed_sizes.push_back(params.getSize());
    if (received_.refuses_compressed && params.getSize() != 0)
      return KJ_EXCEPTION(FAILED, "malformed compressed message");
    context.getResults().setAcceptsCompressed(received_.accepts_compressed);
    auto acknowledgement = kj::newPromiseAndFulfiller<void>();
    received_.unacknowledged.push_back(kj::mv(acknowledgement.fulfiller));
    return kj::mv(acknowledgement.promise);
  }

private:
  record& received_;
};

using sizes = std::vector<std::size_t>;

/// Links to a slow instance, whose timeouts pass only in advance().
struct slow_links
{
  /// Lets the event loop deliver what was sent.
  void run()
  {
    io.provider->getTimer()
        .afterDelay(100 * kj::MILLISECONDS)
        .wait(io.waitScope);
  }

  /// Passes time for the timeouts of the links.
  void advance(kj::Duration time)
  {
    timer.advanceTo(timer.now() + time);
    run();
  }

  void send(std::size_t size)
  {
    links.send(to, std::string(size, 'x'));
    run();
  }

  void acknowledge_all()
  {
    for (auto& acknowledgement : received.unacknowledged)
      acknowledgement->fulfill();
    received.unacknowledged.clear();
    run();
  }

  kj::AsyncIoContext io = kj::setupAsyncIo();
  kj::TimerImpl timer{kj::origin<kj::TimePoint>()};
  slow_instance::record received;
  capnp::TwoPartyServer server{kj::heap<slow_instance>(received)};
  kj::Own<kj::ConnectionReceiver> listener = io.provider->getNetwork()
                                                 .parseAddress("127.0.0.1")
                                                 .wait(io.waitScope)
                                                 ->listen();
  kj::Promise<void> listening = server.listen(*listener);
  replica_address to{
      {},
      {{0x7F000001}, static_cast<std::uint16_t>(listener->getPort())},
      true};
  std::atomic<std::uint64_t> lost{0};
  peer_links links{io, timer, lost};
};

} // namespace

TEST_GROUP(peer_links){};

// Guards against copies of a large entry that pile up for an instance that is
// slow or frozen: control exceeded its memory limit, and a link that is shared
// with packets was full for seconds. Heartbeats must still pass, or the
// instance starts an election.
TEST(peer_links, large_messages_in_flight_are_limited)
{
  slow_links peer;
  peer.send(100);
  for (int i = 0; i < 5; ++i)
    peer.links.send(peer.to, std::string(400'000, 'x'));
  peer.send(100);
  CHECK_EQUAL(4U, peer.lost.load());
  CHECK_TRUE((peer.received.sizes == sizes{100, 400'000, 100}));
}

// Guards against a large message that is dropped although the one before it
// has arrived.
TEST(peer_links, next_large_message_passes_after_an_acknowledgement)
{
  slow_links peer;
  peer.send(300'000);
  peer.send(4'096);
  CHECK_TRUE((peer.received.sizes == sizes{300'000}));
  peer.acknowledge_all();
  peer.send(4'096);
  CHECK_TRUE((peer.received.sizes == sizes{300'000, 4'096}));
  CHECK_EQUAL(1U, peer.lost.load());
}

// Guards against a connection that is closed, and a large message that is sent
// again from its start, while a slow link still carries it.
TEST(peer_links, time_allowed_for_a_message_grows_with_its_size)
{
  slow_links peer;
  peer.send(500'000);
  peer.send(100);
  peer.advance(5'900 * kj::MILLISECONDS);
  CHECK_EQUAL(0U, peer.lost.load());
  peer.acknowledge_all();
  peer.send(500'000);
  peer.advance(6'100 * kj::MILLISECONDS);
  CHECK_EQUAL(1U, peer.lost.load());
}

// Guards against an instance without power that is noticed late.
TEST(peer_links, small_messages_are_given_up_after_two_seconds)
{
  slow_links peer;
  peer.send(100);
  peer.advance(1'900 * kj::MILLISECONDS);
  CHECK_EQUAL(0U, peer.lost.load());
  peer.advance(200 * kj::MILLISECONDS);
  CHECK_EQUAL(1U, peer.lost.load());
}

// Guards against declarations that fill a slow link, and against small messages
// that cost time to compress for nothing.
TEST(peer_links, large_messages_are_compressed_if_an_answer_accepted_it)
{
  slow_links peer;
  peer.received.accepts_compressed = true;
  peer.send(400'000);
  peer.acknowledge_all();
  peer.send(400'000);
  peer.acknowledge_all();
  peer.send(100);
  CHECK_TRUE((peer.received.decompressed_sizes == sizes{0, 400'000, 0}));
  CHECK_TRUE(peer.received.sizes[1] < 4'000);
}

// Guards against a compressed message for an instance of an earlier build,
// which cannot read it.
TEST(peer_links, messages_are_not_compressed_for_an_earlier_build)
{
  slow_links peer;
  peer.send(400'000);
  peer.acknowledge_all();
  peer.send(400'000);
  CHECK_TRUE((peer.received.sizes == sizes{400'000, 400'000}));
  CHECK_TRUE((peer.received.decompressed_sizes == sizes{0, 0}));
}

// Guards against an entry that an instance never gets because it refuses each
// compressed copy, and against a connection that is closed each time.
TEST(peer_links, refused_compressed_message_is_sent_uncompressed)
{
  slow_links peer;
  peer.received.accepts_compressed = true;
  peer.received.refuses_compressed = true;
  peer.send(100);
  peer.acknowledge_all();
  peer.send(400'000);
  CHECK_EQUAL(1U, peer.lost.load());
  peer.send(100);
  peer.acknowledge_all();
  peer.send(400'000);
  CHECK_TRUE((peer.received.decompressed_sizes == sizes{0, 400'000, 0, 0}));
  CHECK_EQUAL(400'000U, peer.received.sizes.back());
}

// Guards against an instance without power that is noticed a minute late
// because it holds a message of several megabytes.
TEST(peer_links, time_allowed_for_a_message_is_limited)
{
  slow_links peer;
  peer.send(8'000'000);
  peer.advance(10'100 * kj::MILLISECONDS);
  CHECK_EQUAL(1U, peer.lost.load());
}

// Guards against an instance that gets no large message again once its
// connection was replaced while it held one.
TEST(peer_links, large_message_passes_on_a_new_connection)
{
  slow_links peer;
  peer.send(300'000);
  peer.advance(4'500 * kj::MILLISECONDS);
  CHECK_EQUAL(1U, peer.lost.load());
  peer.send(100);
  peer.send(300'000);
  CHECK_TRUE((peer.received.sizes == sizes{300'000, 100, 300'000}));
}

// Guards against an instance that lost its disk and gets nothing for seconds
// after its return, because the connection to its lost process is silent.
TEST(peer_links, successor_does_not_wait_for_the_lost_process)
{
  slow_links peer;
  peer.to.id = {1};
  peer.send(300'000);
  peer.to.id = {2};
  peer.send(300'000);
  CHECK_TRUE((peer.received.sizes == sizes{300'000, 300'000}));
  CHECK_EQUAL(0U, peer.lost.load());
}
