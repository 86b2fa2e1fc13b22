#include <toucanmill/observe/event.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <iterator>
#include <set>

using namespace toucanmill;

namespace
{

std::string severity_name(severity level)
{
  return level == severity::info      ? "info"
         : level == severity::warning ? "warning"
                                      : "error";
}

std::string catalogue_rows()
{
  std::string rows;
  for (const auto& item : event_catalogue())
    rows += "| E" + std::to_string(static_cast<unsigned>(item.id)) + " | " +
            item.name + " | " + severity_name(item.level) + " | " +
            item.meaning + " |\n";
  return rows;
}

} // namespace

TEST_GROUP(event){};

// Guards against a catalogue in the docs that differs from the program.
TEST(event, catalogue_in_the_docs_agrees)
{
  std::ifstream input(TOUCANMILL_SOURCE_DIR "/docs/events.md");
  const std::string page{std::istreambuf_iterator<char>(input), {}};
  const auto rows = catalogue_rows();
  const auto start = page.find("| E");
  CHECK_TRUE(start != std::string::npos);
  STRCMP_EQUAL(rows.c_str(), page.substr(start, rows.size()).c_str());
  CHECK_EQUAL(page.size(), start + rows.size());
}

// Guards against a number that stands for two events.
TEST(event, numbers_are_unique)
{
  std::set<event> seen;
  for (const auto& item : event_catalogue())
    CHECK_TRUE(seen.insert(item.id).second);
}

// Guards against the cost of formatting lines that are not written: a balancer
// takes hundreds of decisions a second after a loss of power.
TEST(event, used_up_event_is_refused_before_its_fields_are_made)
{
  CHECK_TRUE(start_logging("ERROR"));
  constexpr auto id = event::flow_searched;
  std::size_t lines = 0;
  while (begin_event(id))
  {
    log_event(id, "detail");
    CHECK_TRUE(++lines < 1000);
  }
  CHECK_TRUE(lines >= 20);
  CHECK_TRUE(logging_losses().suppressed > 0);
}
