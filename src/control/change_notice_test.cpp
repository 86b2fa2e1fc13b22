#include "change_notice.hpp"

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

TEST_GROUP(change_notice){};

// Guards against a log from which it can't be told how many disks the group
// could lose at a moment: a lost voter must not count as live.
TEST(change_notice, group_notice_tells_how_many_voters_may_be_lost)
{
  replicated_log_status status;
  for (std::uint64_t id = 1; id <= 4; ++id)
    status.group.push_back({{id}, {{1}, 1}, true});
  status.group.push_back({{9}, {{1}, 1}, false});
  status.contact_ages = {{{2}, std::chrono::milliseconds(499)},
                         {{4}, std::chrono::milliseconds(500)}};
  constexpr duration silence = std::chrono::milliseconds(500);
  STRCMP_EQUAL("voters 1, 2, 3, 4 (silent); 1 learners; tolerates the loss of "
               "0 more",
               detail::group_notice(status, silence).detail.c_str());
  status.group.erase(status.group.begin() + 3);
  STRCMP_EQUAL("voters 1, 2, 3; 1 learners; tolerates the loss of 1 more",
               detail::group_notice(status, silence).detail.c_str());
}
