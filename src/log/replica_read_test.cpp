#include "replica_core.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

constexpr std::uint64_t voters = 6;
constexpr std::uint64_t members = 12;
constexpr std::uint64_t reads_per_second = 600;
constexpr duration step_time = std::chrono::milliseconds(1);

/// Messages of a second with one every 100 ms, and one at each end.
constexpr int heartbeats_per_second = 12;

/// Replica 1 as the leader of six voters and six learners that answer each
/// message at once.
class leader_of_twelve
{
public:
  leader_of_twelve() : core_(settings(), stored(), {})
  {
    now_ += std::chrono::seconds(10);
    core_.tick({now_, 0});
    exchange();
    // Until a heartbeat interval without messages: the group is at rest.
    run(std::chrono::milliseconds(300));
    sent.clear();
  }

  static replica_settings settings()
  {
    replica_settings settings;
    settings.self = replica_id{1};
    return settings;
  }

  void run(duration time)
  {
    for (const auto end = now_ + time; now_ < end;)
    {
      now_ += step_time;
      core_.tick({now_, 0});
      exchange();
    }
  }

  void read()
  {
    CHECK_TRUE(core_.read(++reads_));
    exchange();
  }

  /// Starts reads at an even rate for a second.
  void read_for_a_second()
  {
    const auto steps = std::uint64_t{1000};
    for (std::uint64_t i = 0; i < steps; ++i)
    {
      run(step_time);
      for (auto count = (i + 1) * reads_per_second / steps -
                        i * reads_per_second / steps;
           count > 0; --count)
        read();
    }
  }

  replica_core& core()
  {
    return core_;
  }

  /// Performs all actions; the members that are not cut off answer.
  void exchange()
  {
    for (auto actions = core_.take_actions(); !actions.empty();
         actions = core_.take_actions())
    {
      for (const auto& read : actions.reads)
        ++(read.confirmed ? confirmed : failed);
      if (!actions.persist.empty())
        core_.persisted(actions.persist.sequence, {now_, 0});
      for (const auto& item : actions.messages)
      {
        ++sent[item.to.id.value];
        if (!cut_off)
          answer(item.message);
      }
    }
  }

  std::map<std::uint64_t, int> sent; ///< messages by member
  int confirmed = 0;
  int failed = 0;
  bool cut_off = false; ///< messages to the members are lost

private:
  static stored_state stored()
  {
    stored_state stored;
    stored.hard = {1, {}, true};
    for (std::uint64_t id = 1; id <= members; ++id)
      stored.snapshot.group.members.push_back(
          {replica_id{id}, {}, id <= voters});
    return stored;
  }

  void answer(const replica_message& request)
  {
    replica_message reply;
    reply.from.id = request.to;
    reply.to = replica_id{1};
    reply.term = request.term;
    reply.round = request.round;
    reply.granted = true;
    reply.may_vote = true;
    reply.index = request.position.index + request.entries.size();
    reply.kind = request.kind == message_kind::pre_vote_request
                     ? message_kind::pre_vote_reply
                 : request.kind == message_kind::vote_request
                     ? message_kind::vote_reply
                 : request.kind == message_kind::append_request
                     ? message_kind::append_reply
                     : message_kind::heartbeat_reply;
    core_.receive(reply, {now_, 0});
  }

  time_point now_;
  std::uint64_t reads_ = 0;
  replica_core core_;
};

} // namespace

TEST_GROUP(replica_read){};

// Guards against reads that fill the links of learners with messages whose
// answers no quorum needs.
TEST(replica_read, learners_get_only_heartbeats_while_reads_are_confirmed)
{
  leader_of_twelve group;
  group.read_for_a_second();
  for (auto id = voters + 1; id <= members; ++id)
    CHECK_COMPARE(group.sent[id], <=, heartbeats_per_second);
  for (std::uint64_t id = 2; id <= voters; ++id)
    CHECK_COMPARE(group.sent[id], >=, heartbeats_per_second / 2);
  group.run(std::chrono::milliseconds(100));
  CHECK_EQUAL(reads_per_second, static_cast<std::uint64_t>(group.confirmed));
}

// Guards against reads that postpone the regular heartbeat, and with it the
// check that a quorum answers, for as long as they keep coming.
TEST(replica_read, leader_without_a_quorum_steps_down_while_reads_keep_coming)
{
  leader_of_twelve group;
  group.cut_off = true;
  const auto end = 2 * leader_of_twelve::settings().election_timeout;
  for (duration time{0};
       time < end && group.core().role() == replica_role::leader;
       time += step_time)
  {
    group.read();
    group.run(step_time);
  }
  CHECK_TRUE(group.core().role() != replica_role::leader);
  CHECK_COMPARE(group.failed, >, 0);
  CHECK_EQUAL(0, group.confirmed);
}

// Guards against learners that learn of a commit only with the next heartbeat,
// although no append request follows.
TEST(replica_read, learner_learns_a_commit_once_it_acknowledged_the_entry)
{
  leader_of_twelve group;
  CHECK_TRUE(group.core().propose("command"));
  group.exchange();
  // The entry, and the index up to which it is committed.
  for (auto id = voters + 1; id <= members; ++id)
    CHECK_EQUAL(2, group.sent[id]);
}
