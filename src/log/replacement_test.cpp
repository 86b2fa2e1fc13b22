#include "replica_core.hpp"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <tuple>

using namespace toucanmill;
using namespace toucanmill::log_detail;

namespace
{

constexpr duration step_time = std::chrono::milliseconds(10);
constexpr int max_steps = 1000;
constexpr std::uint64_t never = 1ULL << 60;

const replica_id lost{3};
const replica_id successor{4};
const endpoint lost_endpoint{ipv4_address{1}, 3};

using members = std::vector<replica_address>;

replica_address voter(replica_id id, endpoint rpc)
{
  return {id, rpc, true};
}

/// How the group of three changes.
enum class way
{
  one_change,         ///< the successor of a lost voter takes its place
  promote_and_remove, ///< the same with four voters in between
  join                ///< a fourth replica becomes a voter; none is lost
};

/// Three replicas of which one is lost for good and replaced, or which another
/// one joins. A second replica is lost after a number of delivered messages.
class replacement_run
{
public:
  replacement_run(way how, replica_id second, std::uint64_t loss_at)
      : how_(how), second_(second), loss_at_(loss_at)
  {
    for (std::uint64_t id = 1; id <= 3; ++id)
      initial_.push_back(voter({id}, {ipv4_address{1}, std::uint16_t(id)}));
    for (const auto& member : initial_)
      start(member.id);
  }

  /// Elects the first leader and changes the group; returns whether the change
  /// was committed.
  bool replace()
  {
    if (!run_until(
            [this]
            {
              return leader() != nullptr && leader()->accepts_commands();
            }))
      return false;
    if (leader()->leader()->id == lost)
      leader()->transfer_leadership(context());
    if (!run_until(
            [this]
            {
              return leader() != nullptr && leader()->accepts_commands() &&
                     leader()->leader()->id != lost;
            }))
      return false;
    if (how_ != way::join)
      cores_.erase(lost);
    start(successor);
    delivered_ = 0;
    return run_until(
        [this]
        {
          advance_replacement();
          return is_lost(second_) || replaced();
        });
  }

  /// Elects the first leader while the second replica is lost.
  bool starts()
  {
    delivered_ = 0;
    return commits();
  }

  /// Whether the replicas that are left commit a command.
  bool commits()
  {
    while (!is_lost(second_))
      if (!step())
        break;
    std::optional<table_version> proposed;
    return run_until(
        [this, &proposed]
        {
          auto* core = leader();
          if (core == nullptr)
            return false;
          if (proposed && core->commit_index() >= proposed->index &&
              core->log().term_at(proposed->index) == proposed->term)
            return true;
          if (!proposed || proposed->term != core->hard().term)
            if (const auto position = core->propose("command"))
              proposed = position.value();
          return false;
        });
  }

  /// No heartbeat round begins any more, so that voters confirm nothing.
  void stop_rounds()
  {
    rounds_ = false;
  }

  /// Messages delivered since the successor appeared.
  std::uint64_t delivered() const
  {
    return delivered_;
  }

private:
  bool is_lost(replica_id id) const
  {
    return delivered_ >= loss_at_ && cores_.count(id) == 0;
  }

  call_context context()
  {
    return {now_, ++random_ * 7919};
  }

  void start(replica_id id)
  {
    replica_settings settings;
    settings.self = id;
    stored_state stored;
    stored.hard.may_vote = false;
    if (id != successor)
      stored.snapshot.group.members = initial_;
    cores_.emplace(id, replica_core(settings, stored, context()));
  }

  replica_core* leader()
  {
    replica_core* found = nullptr;
    for (auto& [id, core] : cores_)
      if (core.role() == replica_role::leader &&
          (found == nullptr || found->hard().term < core.hard().term))
        found = &core;
    return found;
  }

  replica_address new_voter() const
  {
    const endpoint other{ipv4_address{1}, 4};
    return voter(successor, how_ == way::join ? other : lost_endpoint);
  }

  bool replaced()
  {
    auto* core = leader();
    members expected = {initial_[0], initial_[1], new_voter()};
    if (how_ == way::join)
      expected.insert(expected.begin() + 2, initial_[2]);
    return core != nullptr && core->group().members == expected &&
           core->commit_index() >= core->log().last().index;
  }

  void advance_replacement()
  {
    auto* core = leader();
    if (core == nullptr)
      return;
    if (rounds_)
      std::ignore = core->read(++reads_, context());
    auto group = core->group().members;
    if (group.size() == 3 && group.back().id == lost)
      group.push_back({successor, new_voter().rpc, false});
    else if (!group.back().voter)
    {
      group.back().voter = true;
      if (how_ == way::one_change)
        group.erase(group.begin() + 2);
    }
    else if (group.size() == 4 && how_ == way::promote_and_remove)
      group.erase(group.begin() + 2);
    else
      return;
    std::ignore = core->change_group(group, context());
  }

  template <class Condition>
  bool run_until(Condition reached)
  {
    for (int i = 0; i < max_steps; ++i)
    {
      if (reached())
        return true;
      step();
    }
    return false;
  }

  /// Passes time and delivers all messages; false if nothing can be lost any
  /// more because no message was delivered.
  bool step()
  {
    now_ += step_time;
    for (auto& [id, core] : cores_)
      core.tick(context());
    const auto before = delivered_;
    do
    {
      for (auto& [id, core] : cores_)
        collect(core);
    } while (deliver_next());
    return delivered_ != before;
  }

  void collect(replica_core& core)
  {
    for (auto actions = core.take_actions(); !actions.empty();
         actions = core.take_actions())
    {
      for (auto& item : actions.messages)
        network_.push_back(std::move(item.message));
      if (!actions.persist.empty())
        core.persisted(actions.persist.sequence, context());
    }
  }

  bool deliver_next()
  {
    if (network_.empty())
      return false;
    const auto message = std::move(network_.front());
    network_.pop_front();
    if (delivered_ >= loss_at_)
      cores_.erase(second_);
    ++delivered_;
    if (const auto to = cores_.find(message.to); to != cores_.end())
      to->second.receive(message, context());
    return true;
  }

  const way how_;
  const replica_id second_;
  const std::uint64_t loss_at_;
  members initial_;
  std::map<replica_id, replica_core> cores_;
  std::deque<replica_message> network_;
  time_point now_ = time_point{} + std::chrono::hours(1);
  std::uint64_t random_ = 0;
  std::uint64_t reads_ = 0;
  bool rounds_ = true;
  std::uint64_t delivered_ = 0;
};

/// The messages until the replacement is committed.
std::uint64_t count_messages(way how)
{
  replacement_run run(how, successor, never);
  CHECK_TRUE(run.replace());
  return run.delivered();
}

/// Messages of the change at which the loss of the replica is final.
std::uint64_t final_losses(way how, replica_id second)
{
  std::uint64_t found = 0;
  const auto messages = count_messages(how);
  for (std::uint64_t at = 0; at <= messages; ++at)
  {
    replacement_run run(how, second, at);
    run.replace();
    found += run.commits() ? 0 : 1;
  }
  return found;
}

} // namespace

TEST_GROUP(replacement){};

// Guards against a group that ends because a machine loses its disk again
// before its replacement is complete, though only one machine is lost.
TEST(replacement, successor_may_be_lost_at_every_step)
{
  CHECK_EQUAL(0U, final_losses(way::one_change, successor));
}

// Guards against a test that can't fail: with four voters of which one is lost
// for good, the loss of the successor leaves no quorum.
TEST(replacement, promotion_before_removal_does_not_bear_it)
{
  CHECK_TRUE(final_losses(way::promote_and_remove, successor) > 0);
}

// Guards against a replaced voter that still counts once its successor votes:
// the loss of another disk would end the group.
TEST(replacement, another_voter_may_be_lost_once_it_is_committed)
{
  const auto messages = count_messages(way::one_change);
  for (std::uint64_t other = 1; other <= 2; ++other)
  {
    replacement_run run(way::one_change, replica_id{other}, messages + 1);
    CHECK_TRUE(run.replace());
    CHECK_TRUE(run.commits());
  }
}

// Guards against a group that needs a joining replica before it has joined, or
// that can't lose one of the others while it does.
TEST(replacement, any_replica_may_be_lost_at_every_step_of_a_join)
{
  for (std::uint64_t id = 1; id <= 4; ++id)
    CHECK_EQUAL(0U, final_losses(way::join, replica_id{id}));
}

// Guards against a first group that can't start without one of its members.
TEST(replacement, any_replica_may_be_lost_at_every_step_of_the_first_start)
{
  constexpr std::uint64_t first_messages = 40;
  for (std::uint64_t id = 1; id <= 3; ++id)
    for (std::uint64_t at = 0; at <= first_messages; ++at)
      CHECK_TRUE(replacement_run(way::join, replica_id{id}, at).starts());
}

// Guards against a second leader of a later term that was elected with the lost
// replica's vote: quorums before and after the change need not overlap.
TEST(replacement, waits_until_each_other_voter_has_confirmed_the_leader)
{
  replacement_run run(way::one_change, successor, never);
  run.stop_rounds();
  CHECK_FALSE(run.replace());
}
