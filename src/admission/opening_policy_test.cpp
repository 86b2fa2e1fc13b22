#include <toucanmill/admission/opening_policy.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

opening_view view(duration wait)
{
  opening_view value;
  value.terms = {240ms, 3000ms, 0};
  value.wait = value.late_wait = wait;
  value.service_time = 20ms;
  return value;
}

opening_verdict verdict(const opening_view& value)
{
  return decide_opening(value).verdict;
}

} // namespace

TEST_GROUP(opening_policy){};

// Guards against a tour that ends at a stop with a long wait while another one
// is idle.
TEST(opening_policy, stop_admits_within_a_quarter_of_the_objective)
{
  CHECK_TRUE(verdict(view(60ms)) == opening_verdict::admit);
  const auto decision = decide_opening(view(61ms));
  CHECK_TRUE(decision.verdict == opening_verdict::pass_on);
  CHECK_TRUE(decision.new_best == duration(61ms));
}

// Guards against a best stop that is not the one with the shortest wait.
TEST(opening_policy, stop_becomes_the_best_if_its_wait_is_shorter)
{
  auto value = view(100ms);
  value.best_wait = 100ms;
  CHECK_FALSE(decide_opening(value).new_best.has_value());
  value.best_wait = 101ms;
  CHECK_TRUE(decide_opening(value).new_best == duration(100ms));
}

// Guards against a last stop that refuses what the best stop can serve.
TEST(opening_policy, last_stop_sends_the_packet_to_the_best_one)
{
  auto value = view(100ms);
  value.last_stop = true;
  CHECK_TRUE(verdict(value) == opening_verdict::admit); // it is the best
  value.best_wait = 70ms;
  CHECK_TRUE(verdict(value) == opening_verdict::pass_on);
  value.wait = value.late_wait = 4000ms;
  value.best_wait.reset();
  CHECK_TRUE(verdict(value) == opening_verdict::refuse);
}

// Guards against refusing what can be served in time, and against holding what
// cannot.
TEST(opening_policy, final_stop_admits_holds_or_refuses)
{
  auto value = view(150ms); // 60 ms reserve, 30 ms for the handshake
  value.final_stop = true;
  CHECK_TRUE(verdict(value) == opening_verdict::admit);
  value.wait = 151ms;
  CHECK_TRUE(verdict(value) == opening_verdict::hold);
  value.late_wait = 2980ms;
  CHECK_TRUE(verdict(value) == opening_verdict::hold);
  value.late_wait = 2981ms;
  CHECK_TRUE(verdict(value) == opening_verdict::refuse);
  value.late_wait = 221ms;
  value.has_room = false;
  CHECK_TRUE(verdict(value) == opening_verdict::refuse);
}

// Guards against a cold upstream that gets more than its rate because nobody
// else admits the flow.
TEST(opening_policy, no_stop_admits_without_a_token)
{
  auto value = view(0ms);
  value.token_wait = 300ms;
  const auto decision = decide_opening(value);
  CHECK_TRUE(decision.verdict == opening_verdict::pass_on);
  CHECK_TRUE(decision.new_best == duration(300ms));
  value.final_stop = true;
  CHECK_TRUE(verdict(value) == opening_verdict::hold);
  CHECK_FALSE(admits_held_opening(value, 0ms));
  value.token_wait = 5000ms;
  CHECK_TRUE(verdict(value) == opening_verdict::refuse);
}

// Guards against a failing upstream that gets all new flows because it answers
// fast, and against refusing flows that only it can take.
TEST(opening_policy, reduced_share_only_makes_a_stop_less_attractive)
{
  auto value = view(0ms);
  value.within_share = false;
  const auto decision = decide_opening(value);
  CHECK_TRUE(decision.verdict == opening_verdict::pass_on);
  CHECK_TRUE(decision.new_best == duration(240ms));
  value.last_stop = true;
  CHECK_TRUE(verdict(value) == opening_verdict::admit);
}

// Guards against late requests that keep a flow from being on time: it goes in
// front of them.
TEST(opening_policy, late_requests_do_not_count_for_a_flow_on_time)
{
  auto value = view(0ms);
  value.late_wait = 1000ms;
  CHECK_TRUE(verdict(value) == opening_verdict::admit);
  CHECK_TRUE(admits_held_opening(value, 150ms));
  CHECK_FALSE(admits_held_opening(value, 151ms));
}

// Guards against a refusal at the end of the hold that makes the caller come
// back as a new one, and against admission of what comes too late.
TEST(opening_policy, held_flow_is_admitted_at_the_end_if_it_can_be_answered)
{
  auto value = view(0ms);
  value.late_wait = 1980ms;
  CHECK_TRUE(admits_at_end_of_hold(value, 1000ms));
  value.late_wait = 1981ms;
  CHECK_FALSE(admits_at_end_of_hold(value, 1000ms));
  value.late_wait = 0ms;
  value.token_wait = 1ms;
  CHECK_FALSE(admits_at_end_of_hold(value, 1000ms));
}

// Guards against held flows that are admitted late one after the other: each
// would only delay the ones that can still be on time.
TEST(opening_policy, late_held_flow_is_admitted_at_a_short_wait_only)
{
  CHECK_TRUE(admits_held_opening(view(80ms), 70ms));
  CHECK_FALSE(admits_held_opening(view(81ms), 70ms));
  CHECK_TRUE(admits_held_opening(view(60ms), 900ms));
  CHECK_FALSE(admits_held_opening(view(61ms), 900ms));
}
