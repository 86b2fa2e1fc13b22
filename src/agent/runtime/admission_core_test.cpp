#include <toucanmill/agent/admission_core.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

time_point at(duration since_start)
{
  return time_point{since_start};
}

session_id session(std::uint64_t value)
{
  return session_id{value};
}

admission_core full_admission()
{
  admission_core admission({1, 2, 1s});
  admission.request(session(1), at(1s));
  admission.request(session(2), at(2s));
  admission.request(session(3), at(1s));
  return admission;
}

} // namespace

TEST_GROUP(admission){};

// Guards against more running requests than slots, and against an unbounded
// queue.
TEST(admission, slots_then_queue_then_refusal)
{
  admission_core admission({1, 1, 1s});
  CHECK_TRUE(admission.request(session(1), at(1s)) ==
             admission_answer::granted);
  CHECK_TRUE(admission.request(session(2), at(1s)) == admission_answer::queued);
  CHECK_TRUE(admission.request(session(3), at(1s)) ==
             admission_answer::refused);
}

// Guards against slots granted out of order.
TEST(admission, release_grants_in_order)
{
  auto admission = full_admission();
  const auto changes = admission.release(session(1), at(100ms));
  CHECK_EQUAL(1U, changes.size());
  CHECK_TRUE(changes[0].granted && changes[0].session == session(2));
  CHECK_EQUAL(1U, admission.slots_in_use());
  CHECK_EQUAL(1U, admission.queue_length());
}

// Guards against a cancelled request that keeps its queue entry.
TEST(admission, a_waiting_session_can_leave)
{
  auto admission = full_admission();
  CHECK_TRUE(admission.release(session(2), at(0s)).empty());
  CHECK_EQUAL(1U, admission.queue_length());
  CHECK_EQUAL(1U, admission.slots_in_use());
}

// Guards against a grant after the queue deadline, and against a short deadline
// that is ignored behind a longer one.
TEST(admission, expired_entries_are_refused_and_never_granted)
{
  auto admission = full_admission();
  CHECK_TRUE(admission.next_deadline() == at(1s));
  const auto changes = admission.release(session(1), at(1s));
  CHECK_EQUAL(2U, changes.size());
  CHECK_TRUE(!changes[0].granted && changes[0].session == session(3));
  CHECK_TRUE(changes[1].granted && changes[1].session == session(2));
}

// Guards against a release that frees a slot that its session does not hold.
TEST(admission, an_unknown_session_releases_nothing)
{
  auto admission = full_admission();
  CHECK_TRUE(admission.release(session(9), at(0s)).empty());
  CHECK_EQUAL(1U, admission.slots_in_use());
}
