#include <toucanmill/observe/log_trace.hpp>

#include <CppUTest/TestHarness.h>

#include <toucanmill/observe/log_line.hpp>

using namespace toucanmill;

TEST_GROUP(log_trace){};

// Guards against values that break a line into other fields.
TEST(log_trace, fields_survive_writing_and_reading)
{
  const auto text =
      log_fields().add("flow", "a>b").add("detail", "two words").text();
  STRCMP_EQUAL("flow=a>b detail=\"two words\"", text.c_str());
  STRCMP_EQUAL("a>b", logfmt_field(text, "flow").c_str());
  STRCMP_EQUAL("two words", logfmt_field("x " + text, "detail").c_str());
  STRCMP_EQUAL("", logfmt_field(text, "low").c_str());
  STRCMP_EQUAL("\"a b\"", logfmt_value("a\nb").c_str());
}

// Guards against lines about a failed request that are left out because only
// one of them names its id.
TEST(log_trace, request_brings_in_the_lines_of_its_flow_in_order)
{
  const std::vector<std::string> lines = {
      "time=3 name=request_unanswered flow=a>b request=77",
      "time=1 name=flow_refused flow=a>b", "time=2 name=flow_refused flow=c>d",
      "time=2 name=table_applied detail=x"};
  const auto found = trace_lines(lines, {"77", ""});
  CHECK_EQUAL(2U, found.size());
  CHECK_TRUE(found[0] == lines[1]);
  CHECK_TRUE(found[1] == lines[0]);
  CHECK_EQUAL(1U, trace_lines(lines, {"", "c>d"}).size());
  CHECK_TRUE(trace_lines(lines, {"78", ""}).empty());
}
