#include "announce_core.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;
using namespace std::chrono_literals;

namespace
{

time_point at(duration since_start)
{
  return time_point{} + 1000s + since_start;
}

} // namespace

TEST_GROUP(announce_core)
{
  announce_core core{200ms, 1s};
};

// Guards against a balancer that announces itself before it has a table and
// then drops the packets it receives.
TEST(announce_core, no_message_before_first_table)
{
  CHECK_FALSE(core.poll(at(0ms)).has_value());
  core.set_ready();
  CHECK_TRUE(core.poll(at(50ms)) == fabric_message::announce);
  core.set_ready();
  CHECK_FALSE(core.poll(at(249ms)).has_value());
  CHECK_TRUE(core.next_message_time() == at(250ms));
  CHECK_TRUE(core.poll(at(250ms)) == fabric_message::announce);
}

// Guards against a balancer that announces itself again after it withdrew, and
// against a withdrawal that is lost because it is sent only once.
TEST(announce_core, withdrawal_is_immediate_and_repeated)
{
  core.set_ready();
  CHECK_TRUE(core.poll(at(0ms)) == fabric_message::announce);
  core.retire(at(10ms));
  CHECK_TRUE(core.poll(at(10ms)) == fabric_message::withdraw);
  CHECK_FALSE(core.poll(at(100ms)).has_value());
  core.set_ready();
  CHECK_TRUE(core.poll(at(210ms)) == fabric_message::withdraw);
}

// Guards against a retirement that completes while fabric edges still send
// packets.
TEST(announce_core, retired_after_a_quiet_period)
{
  core.on_forwarded(at(0ms));
  CHECK_FALSE(core.retired(at(5s)));
  core.retire(at(5s));
  CHECK_FALSE(core.retired(at(5999ms)));
  core.on_forwarded(at(5999ms));
  CHECK_FALSE(core.retired(at(6998ms)));
  core.retire(at(6500ms));
  CHECK_TRUE(core.retired(at(6999ms)));
}
