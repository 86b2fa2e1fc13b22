#include <toucanmill/table/service_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

TEST_GROUP(service_table)
{
  table_update update;

  void setup() override
  {
    service_table other;
    other.name = "charts";
    other.warm_up_rate = 800;
    update.changed = {other};
  }
};

// Guards against unlimited new flows of a cold upstream whose service is
// declared after its agent got its first table.
TEST(service_table, update_without_a_service_states_no_warm_up_rate)
{
  CHECK_FALSE(warm_up_rate_in(update, "notes").has_value());
  update.full = true;
  CHECK_FALSE(warm_up_rate_in(update, "notes").has_value());
}

// Guards against a limit that outlives its withdrawal.
TEST(service_table, service_without_a_limit_states_the_rate_zero)
{
  service_table own;
  own.name = "notes";
  update.changed.push_back(own);
  CHECK_EQUAL(0U, *warm_up_rate_in(update, "notes"));
  CHECK_EQUAL(800U, *warm_up_rate_in(update, "charts"));
}
