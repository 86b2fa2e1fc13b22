#include "replica_core.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <utility>
#include <vector>

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
    CHECK_TRUE(core_.read(++reads_, {now_, 0}));
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

  /// The members answer the messages that came while they were cut off.
  void answer_late()
  {
    cut_off = false;
    for (const auto& message : std::exchange(unanswered_, {}))
      answer(message);
    exchange();
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
        for (const auto& entry : item.message.entries)
          octets[item.to.id.value] += entry.payload.size();
        if (cut_off)
          unanswered_.push_back(item.message);
        else
          answer(item.message);
      }
    }
  }

  std::map<std::uint64_t, int> sent;           ///< messages by member
  std::map<std::uint64_t, std::size_t> octets; ///< of entries, by member
  int confirmed = 0;
  int failed = 0;
  bool cut_off = false; ///< messages to the members are not answered

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
  std::vector<replica_message> unanswered_;
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
  CHECK_FALSE(group.core().next_round_time().has_value());
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

// Guards against one round of messages for each read when many arrive.
TEST(replica_read, reads_that_arrive_together_share_a_round)
{
  leader_of_twelve group;
  group.read_for_a_second();
  for (std::uint64_t id = 2; id <= voters; ++id)
    CHECK_COMPARE(group.sent[id], <=, 101 + heartbeats_per_second);
}

// Guards against a read at rest that waits for the interval between rounds.
TEST(replica_read, read_without_a_recent_round_starts_one_at_once)
{
  leader_of_twelve group;
  group.read();
  CHECK_EQUAL(1, group.confirmed);
}

// Guards against a stale read: the members may have answered the round before
// another leader committed an entry that the read must see.
TEST(replica_read, round_confirms_no_read_that_arrived_after_its_start)
{
  leader_of_twelve group;
  group.cut_off = true;
  group.read();
  group.read();
  CHECK_TRUE(group.core().next_round_time().has_value());
  group.answer_late();
  CHECK_EQUAL(1, group.confirmed);
  group.run(leader_of_twelve::settings().read_round_interval);
  CHECK_EQUAL(2, group.confirmed);
  CHECK_FALSE(group.core().next_round_time().has_value());
}

// Guards against a leader that takes the answers to an earlier round for those
// to the round of a read, and so confirms the read after it was cut off.
TEST(replica_read, answers_to_an_earlier_round_confirm_no_read)
{
  leader_of_twelve group;
  group.read();
  group.run(leader_of_twelve::settings().read_round_interval);
  group.cut_off = true;
  group.read();
  CHECK_FALSE(group.core().next_round_time().has_value());
  CHECK_EQUAL(1, group.confirmed);
  group.answer_late();
  CHECK_EQUAL(2, group.confirmed);
}

// Guards against reads that are never answered because the messages of their
// round were lost and no other read follows.
TEST(replica_read, next_heartbeat_confirms_reads_of_a_lost_round)
{
  leader_of_twelve group;
  group.cut_off = true;
  group.read();
  group.cut_off = false;
  group.run(leader_of_twelve::settings().heartbeat_interval);
  CHECK_EQUAL(1, group.confirmed);
}

// Guards against a promoted learner that counts for the quorum and gets no
// rounds.
TEST(replica_read, promoted_learner_confirms_reads)
{
  leader_of_twelve group;
  auto promoted = group.core().group().members;
  promoted.back().voter = true;
  CHECK_TRUE(group.core().change_group(promoted, {}));
  group.exchange();
  group.sent.clear();
  group.read();
  CHECK_EQUAL(1, group.sent[promoted.back().id.value]);
  CHECK_EQUAL(1, group.confirmed);
}

// Guards against copies of a large entry that fill a slow link while the first
// one is still on its way.
TEST(replica_read, entry_is_sent_once_until_a_reply_shows_that_it_is_lost)
{
  constexpr std::size_t size = 500000;
  leader_of_twelve group;
  group.cut_off = true;
  CHECK_TRUE(group.core().propose(std::string(size, 'x')));
  group.run(std::chrono::milliseconds(500));
  for (std::uint64_t id = 2; id <= members; ++id)
    CHECK_EQUAL(size, group.octets[id]);
  CHECK_TRUE(group.core().role() == replica_role::leader);
  group.answer_late();
  CHECK_EQUAL(group.core().log().last().index, group.core().commit_index());
}
