#include <toucanmill/relay/entry_core.hpp>
#include <toucanmill/relay/relay_core.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace toucanmill;

namespace
{

std::string operations_page()
{
  std::ifstream page(TOUCANMILL_SOURCE_DIR "/docs/OPERATIONS.md");
  return {std::istreambuf_iterator<char>(page), {}};
}

/// Checks that each value has a unique name that the page explains.
template <class Reason>
void check_reasons(std::size_t count)
{
  static const auto page = operations_page();
  std::set<std::string> names;
  for (std::size_t i = 0; i < count; ++i)
  {
    const std::string name = to_string(static_cast<Reason>(i));
    CHECK_TRUE(names.insert(name).second);
    CHECK_FALSE(name == "unknown");
    if (page.find("`" + name + "`") == std::string::npos)
      FAIL(("docs/OPERATIONS.md does not explain " + name).c_str());
  }
}

} // namespace

TEST_GROUP(reasons){};

// Guards against a refusal, drop or reset whose counter and log lines carry a
// name that is not documented. The counters are arrays indexed by these values.
TEST(reasons, every_reason_has_a_name_and_an_entry_in_the_operators_page)
{
  check_reasons<entry_drop>(entry_drop_count);
  check_reasons<reset_reason>(reset_reason_count);
  check_reasons<relay_event>(relay_event_count);
}
