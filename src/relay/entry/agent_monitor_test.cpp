#include <toucanmill/relay/agent_monitor.hpp>

#include <CppUTest/TestHarness.h>

#include "../relay_fixture_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

TEST_GROUP(agent_monitor)
{
  agent_monitor monitor{agent_monitor::options{}};
  const endpoint agent = endpoint_at(10);

  bool is_unresponsive(const endpoint& value, time_point now) const
  {
    return monitor.unresponsive(now).count(value) != 0;
  }
};

// Guards against an agent that is taken for dead while it may still answer, and
// against a dead one that is taken for alive.
TEST(agent_monitor, agent_is_unresponsive_after_an_unanswered_probe)
{
  monitor.on_probe(agent, start);
  CHECK_FALSE(is_unresponsive(agent, start + 80ms));
  CHECK_TRUE(is_unresponsive(agent, start + 81ms));
  CHECK_TRUE(monitor.unresponsive(start + 81ms) == agent_set{agent});
  CHECK_FALSE(is_unresponsive(endpoint_at(11), start + 81ms));
}

// Guards against probes that postpone the verdict on a dead agent.
TEST(agent_monitor, further_probes_do_not_postpone_the_timeout)
{
  monitor.on_probe(agent, start);
  monitor.on_probe(agent, start + 70ms);
  CHECK_TRUE(is_unresponsive(agent, start + 81ms));
}

// Guards against an agent that stays last in every search after it has
// restarted.
TEST(agent_monitor, any_message_makes_the_agent_responsive)
{
  monitor.on_probe(agent, start);
  monitor.on_message(agent);
  CHECK_FALSE(is_unresponsive(agent, start + 1s));
}

// Guards against an agent that is remembered as dead for ever.
TEST(agent_monitor, unresponsive_agent_is_forgotten_without_probes)
{
  monitor.on_probe(agent, start);
  monitor.on_probe(agent, start + 2s);
  monitor.on_tick(start + 12s);
  CHECK_TRUE(is_unresponsive(agent, start + 12s));
  CHECK_FALSE(is_unresponsive(agent, start + 13s));
  monitor.on_tick(start + 13s);
  monitor.on_probe(agent, start + 13s);
  CHECK_FALSE(is_unresponsive(agent, start + 13s));
}

// Guards against questions that count as lost while all answers come late, and
// against one late answer that delays those that are lost on a sound link.
TEST(agent_monitor, question_is_lost_only_when_later_ones_are_answered)
{
  CHECK_FALSE(monitor.has_answered_since(start));
  for (int i = 0; i < 20; ++i)
    monitor.on_question_answered(start, start + 30ms);
  CHECK_TRUE(monitor.has_answered_since(start));
  CHECK_FALSE(monitor.has_answered_since(start + 1ms));
  const auto before = monitor.loss_timeout();
  CHECK_TRUE(before <= 100ms);
  monitor.on_question_answered(start, start + 800ms);
  CHECK_TRUE(monitor.loss_timeout() < 200ms);
  for (int i = 0; i < 40; ++i)
    monitor.on_question_answered(start, start + 700ms);
  CHECK_TRUE(monitor.loss_timeout() > 700ms);
}
