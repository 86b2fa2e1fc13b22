#include "replica_core.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

#include "codec.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

const replica_address leader_address = {replica_id{1}, {}, true};
const replica_address learner_address = {replica_id{2}, {}, false};

constexpr time_point start_time{std::chrono::seconds(10)};

const std::string large_command(300'000, 'x');
const std::string small_command(100, 'x');

/// The only voter of a group with a learner that has acknowledged the first
/// entry, so that entries are pipelined.
class leader_with_learner
{
public:
  leader_with_learner() : core_(settings(), stored(), {})
  {
    core_.tick({start_time, 0});
    sent();
    acknowledge(1);
    sent();
  }

  void propose(const std::string& command)
  {
    CHECK_TRUE(core_.propose(command).has_value());
  }

  void tick(duration since_start)
  {
    core_.tick({start_time + since_start, 0});
  }

  void acknowledge(std::uint64_t index)
  {
    auto reply = make_reply();
    reply.granted = true;
    reply.index = index;
    reply.formats = learner_formats;
    reply.in_memory = learner_in_memory;
    core_.receive(reply, {start_time, 0});
  }

  /// The learner refuses a request behind entry `previous`; its last entry is
  /// `index`.
  void refuse(std::uint64_t previous, std::uint64_t index)
  {
    auto reply = make_reply();
    reply.position.index = previous;
    reply.index = index;
    core_.receive(reply, {start_time, 0});
  }

  /// Performs all actions; returns the index of the first entry of each append
  /// request that they send.
  std::vector<std::uint64_t> sent()
  {
    std::vector<std::uint64_t> first;
    for (auto actions = core_.take_actions(); !actions.empty();
         actions = core_.take_actions())
    {
      for (const auto& [to, message] : actions.messages)
        if (message.kind == message_kind::append_request)
        {
          first.push_back(message.position.index + 1);
          last_size_ = encode(message).size();
        }
      core_.persisted(actions.persist.sequence, {start_time, 0});
    }
    return first;
  }

  void require_format(format_version version)
  {
    core_.require_format(version);
  }

  format_support learner_formats;
  bool learner_in_memory = false;

  std::vector<replica_id> members_in_memory() const
  {
    return core_.members_in_memory();
  }

  /// Encoded octets of the last append request sent.
  std::size_t last_size() const
  {
    return last_size_;
  }

private:
  replica_message make_reply() const
  {
    replica_message reply;
    reply.kind = message_kind::append_reply;
    reply.from = learner_address;
    reply.to = leader_address.id;
    reply.term = core_.hard().term;
    return reply;
  }

  static replica_settings settings()
  {
    replica_settings made;
    made.self = leader_address.id;
    return made;
  }

  static stored_state stored()
  {
    stored_state made;
    made.hard = {1, {}, true};
    made.snapshot.group.members = {leader_address, learner_address};
    return made;
  }

  replica_core core_;
  std::size_t last_size_ = 0;
};

/// Whether a request with these entries is sent while a large one is in flight.
bool is_small(std::size_t count, std::size_t command_size)
{
  leader_with_learner leader;
  leader.propose(large_command);
  leader.sent();
  for (std::size_t i = 0; i < count; ++i)
    leader.propose(std::string(command_size, 'x'));
  const bool sent = !leader.sent().empty();
  CHECK_TRUE(!sent || leader.last_size() < large_message_octets);
  return sent;
}

using indices = std::vector<std::uint64_t>;

} // namespace

TEST_GROUP(replica_append){};

// Guards against large requests that fill a slow link for seconds, and against
// the wait for a retransmission where the connection drops the second of two.
TEST(replica_append, next_large_request_follows_the_acknowledgement)
{
  leader_with_learner leader;
  for (int i = 0; i < 3; ++i)
    leader.propose(large_command);
  CHECK_TRUE(leader.sent() == indices{2});
  leader.acknowledge(2);
  CHECK_TRUE(leader.sent() == indices{3});
  leader.acknowledge(3);
  CHECK_TRUE(leader.sent() == indices{4});
}

// Guards against many entries of a slow learner that are sent as several large
// requests at once.
TEST(replica_append, entries_that_make_a_large_request_count_as_one)
{
  leader_with_learner leader;
  leader.propose(large_command);
  CHECK_TRUE(leader.sent() == indices{2});
  for (int i = 0; i < 170; ++i)
    leader.propose(small_command);
  CHECK_TRUE(leader.sent().empty());
  leader.acknowledge(2);
  CHECK_TRUE(leader.sent() == indices{3});
}

// Guards against small entries that wait for the acknowledgement of others.
TEST(replica_append, small_requests_are_pipelined)
{
  leader_with_learner leader;
  leader.propose(large_command);
  CHECK_TRUE(leader.sent() == indices{2});
  for (std::uint64_t index = 3; index < 3 + 10; ++index)
  {
    leader.propose(small_command);
    CHECK_TRUE(leader.sent() == indices{index});
  }
}

// Guards against a request that counts as small here and as large to the
// transport, which drops it.
TEST(replica_append, small_requests_encode_to_less_than_the_limit)
{
  for (std::size_t size = 3'700; size < 4'000; ++size)
    is_small(1, size);
  for (std::size_t count = 60; count < 90; ++count)
    is_small(count, 1);
  CHECK_TRUE(is_small(1, 3'700));
  CHECK_TRUE(is_small(60, 1));
  CHECK_FALSE(is_small(1, 3'900));
  CHECK_FALSE(is_small(90, 1));
}

// Guards against a large request that the connection dropped and that is not
// sent again before the time that a slow link would need for it.
TEST(replica_append, dropped_large_request_is_sent_again)
{
  leader_with_learner leader;
  leader.propose(large_command);
  CHECK_TRUE(leader.sent() == indices{2});
  leader.tick(std::chrono::milliseconds(100));
  CHECK_TRUE(leader.sent().empty());
  // A request without entries asks whether entry 2 has arrived.
  leader.tick(std::chrono::milliseconds(200));
  CHECK_TRUE(leader.sent() == indices{3});
  CHECK_TRUE(leader.last_size() < large_message_octets);
  leader.refuse(2, 1);
  CHECK_TRUE(leader.sent() == indices{2});
}

// Guards against entries that go to a replica whose build can't read them, and
// against a replica that gets none after its build was replaced.
TEST(replica_append, replica_gets_entries_once_it_reads_the_format)
{
  leader_with_learner leader;
  leader.require_format(2);
  leader.propose(small_command);
  CHECK_TRUE(leader.sent().empty());
  leader.learner_formats = {1, 2, 0};
  leader.acknowledge(1);
  CHECK_TRUE(leader.sent() == indices{2});
}

// Guards against a leader that takes a member without a disk for one whose copy
// survives the end of its process.
TEST(replica_append, member_states_that_its_log_is_in_memory)
{
  leader_with_learner leader;
  CHECK_TRUE(leader.members_in_memory().empty());
  leader.propose(small_command);
  leader.sent();
  leader.learner_in_memory = true;
  leader.acknowledge(2);
  CHECK_TRUE(leader.members_in_memory() ==
             std::vector<replica_id>{learner_address.id});
}

// Guards against entries for a lost replica that take the link of the one that
// answers at its endpoint now.
TEST(replica_append, replaced_replica_gets_no_entries)
{
  const endpoint shared{{1}, 7720};
  replica_settings settings;
  settings.self = leader_address.id;
  stored_state stored;
  stored.hard = {1, {}, true};
  stored.snapshot.group.members = {leader_address,
                                   {replica_id{2}, shared, false},
                                   {replica_id{3}, shared, false}};
  replica_core core(settings, stored, {});
  const auto run = [&core](time_point now)
  {
    std::set<replica_id> receivers;
    for (auto actions = core.take_actions(); !actions.empty();
         actions = core.take_actions())
    {
      for (const auto& [to, message] : actions.messages)
        if (!message.entries.empty())
          receivers.insert(message.to);
      core.persisted(actions.persist.sequence, {now, 0});
    }
    return receivers;
  };
  core.tick({start_time, 0});
  CHECK_EQUAL(2U, run(start_time).size());
  const auto acknowledge = [&core, &shared](std::uint64_t id, time_point now)
  {
    replica_message reply;
    reply.kind = message_kind::append_reply;
    reply.from = {replica_id{id}, shared, false};
    reply.to = leader_address.id;
    reply.term = core.hard().term;
    reply.granted = true;
    reply.index = 1;
    core.receive(reply, {now, 0});
  };
  acknowledge(2, start_time);
  acknowledge(3, start_time);
  run(start_time);
  const auto later = start_time + settings.election_timeout;
  acknowledge(3, later);
  CHECK_TRUE(core.propose(small_command).has_value());
  core.tick({later, 0});
  CHECK_TRUE(run(later) == std::set<replica_id>{replica_id{3}});
}
