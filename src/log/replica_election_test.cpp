#include "replica_core.hpp"

#include <CppUTest/TestHarness.h>

#include "codec.hpp"

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

const std::vector<replica_address> three_voters = {{replica_id{1}, {}, true},
                                                   {replica_id{2}, {}, true},
                                                   {replica_id{3}, {}, true}};

/// Later than any election deadline of the default settings.
constexpr call_context after_election_timeout{
    time_point{std::chrono::seconds(10)}, 0};

/// Replica 1 of three, in term 1, with one entry that is not known to be
/// committed.
replica_core replica_with(log_entry entry)
{
  replica_settings settings;
  settings.self = replica_id{1};
  stored_state stored;
  stored.hard = {1, {}, true};
  stored.snapshot.group.members = three_voters;
  stored.entries = {std::move(entry)};
  return replica_core(settings, std::move(stored), {});
}

/// Performs all pending actions at once; returns the messages.
std::vector<outgoing_message> perform_actions(replica_core& core)
{
  std::vector<outgoing_message> messages;
  for (auto actions = core.take_actions(); !actions.empty();
       actions = core.take_actions())
  {
    for (auto& message : actions.messages)
      messages.push_back(std::move(message));
    core.persisted(actions.persist.sequence, after_election_timeout);
  }
  return messages;
}

void receive_reply(replica_core& core, message_kind kind,
                   std::uint64_t index = 0)
{
  replica_message message;
  message.kind = kind;
  message.from = three_voters[1];
  message.to = replica_id{1};
  message.term = 2;
  message.granted = true;
  message.index = index;
  core.receive(message, after_election_timeout);
  perform_actions(core);
}

} // namespace

TEST_GROUP(replica_election){};

// Guards against committing an entry of an earlier term by counting replicas: a
// candidate without it could still win a later election.
TEST(replica_election, leader_commits_earlier_terms_only_with_its_own)
{
  auto core = replica_with({{1, 1}, entry_kind::command, "old"});
  core.tick(after_election_timeout);
  perform_actions(core);
  receive_reply(core, message_kind::pre_vote_reply);
  receive_reply(core, message_kind::vote_reply);
  CHECK_TRUE(core.role() == replica_role::leader);
  receive_reply(core, message_kind::append_reply, 1);
  CHECK_EQUAL(0U, core.commit_index());
  receive_reply(core, message_kind::append_reply, 2);
  CHECK_EQUAL(2U, core.commit_index());
}

// Guards against a group that cannot elect a leader because only the replica
// being removed has the newest entries.
TEST(replica_election, replica_campaigns_until_its_removal_is_committed)
{
  const group_record group_without_self{{three_voters[1], three_voters[2]},
                                        {replica_id{1}}};
  auto core = replica_with(
      {{1, 1}, entry_kind::membership, encode(group_without_self)});
  core.tick(after_election_timeout);
  CHECK_EQUAL(2U, perform_actions(core).size());
}

// Guards against a recovery that waits a full election timeout after all
// instances lost power at once.
TEST(replica_election, restarted_replica_sends_early_pre_votes)
{
  auto core = replica_with({{1, 1}, entry_kind::command, "old"});
  core.tick({time_point{replica_settings{}.election_timeout / 8}, 0});
  const auto messages = perform_actions(core);
  CHECK_EQUAL(2U, messages.size());
  CHECK_TRUE(messages[0].message.kind == message_kind::pre_vote_request);
}

// Guards against a replica that keeps sending pre-votes at a high rate during a
// long outage of the group.
TEST(replica_election, early_pre_votes_become_less_frequent)
{
  auto core = replica_with({{1, 1}, entry_kind::command, "old"});
  const auto step = replica_settings{}.election_timeout / 64;
  std::size_t rounds = 0;
  for (auto now = time_point{}; now < time_point{std::chrono::seconds(6)};
       now += step)
  {
    core.tick({now, 0});
    rounds += core.take_actions().messages.empty() ? 0 : 1;
  }
  CHECK_TRUE(rounds > 8);
  CHECK_TRUE(rounds < 60);
}
