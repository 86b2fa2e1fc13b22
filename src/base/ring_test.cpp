#include <toucanmill/base/ring.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

TEST_GROUP(ring){};

// Guards against a full ring that overwrites or loses count of items.
TEST(ring, full_ring_refuses_and_counts)
{
  ring<int> numbers(2);
  CHECK_TRUE(numbers.push(1));
  CHECK_TRUE(numbers.push(2));
  CHECK_FALSE(numbers.push(3));
  CHECK_EQUAL(1U, numbers.refused());
  CHECK_EQUAL(1, *numbers.pop());
  CHECK_EQUAL(2, *numbers.pop());
  CHECK_FALSE(numbers.pop().has_value());
}
