#include <toucanmill/control/configuration_file.hpp>

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <iterator>

using namespace toucanmill;

TEST_GROUP(configuration_file){};

// Guards against a shipped example configuration that is not accepted.
TEST(configuration_file, example_is_valid)
{
  std::ifstream input(TOUCANMILL_SOURCE_DIR "/examples/configuration.toml");
  const std::string text{std::istreambuf_iterator<char>(input), {}};
  const auto read = parse_configuration(text, "configuration.toml");
  const auto* value = std::get_if<configuration>(&read);
  CHECK_TRUE(value != nullptr);
  CHECK_EQUAL(1U, value->version);
  CHECK_EQUAL(2U, value->routes.at(0).targets.size());
  CHECK_TRUE(value->document == text);
}

// Guards against objectives and limits of the file that are not declared.
TEST(configuration_file, objectives_and_warm_up_limits_are_read)
{
  const std::string start =
      "version = 1\nidle_timeout_ms = 1\nservices = [\"a\"]\n";
  const std::string route =
      "[[route]]\nname = \"r\"\naddress = \"10.0.0.1:80\"\n"
      "timeout_ms = 1000\ntargets = [{service = \"a\", weight = 1}]\n";
  const auto without = parse_configuration(start + route, "c.toml");
  CHECK_TRUE(std::get<configuration>(without).routes[0].objectives ==
             route_objectives{});
  CHECK_TRUE(std::get<configuration>(without).warm_up.empty());
  const auto with = parse_configuration(
      start + route +
          "kind = \"idempotent\"\nlatency_ms = 200\npriority = 2\n"
          "[[warm_up]]\nservice = \"a\"\nflows_per_s = 2.5\n",
      "c.toml");
  const auto& value = std::get<configuration>(with);
  CHECK_TRUE(value.routes[0].objectives ==
             (route_objectives{request_kind::idempotent, 200, 2}));
  CHECK_TRUE(value.warm_up == (std::vector<warm_up_limit>{{"a", 2500}}));
  const auto invalid = parse_configuration(
      start + route +
          "kind = \"safe\"\nlatency_ms = -1\npriority = 4294967296\n"
          "[[warm_up]]\nservice = \"a\"\nflows_per_s = 0\n",
      "c.toml");
  std::string keys;
  for (const auto& item : std::get<findings>(invalid))
    keys += std::to_string(item.line) + ":" + item.key + " ";
  STRCMP_EQUAL("9:route[0].kind 10:route[0].latency_ms 11:route[0].priority "
               "14:warm_up[0].flows_per_s ",
               keys.c_str());
}

// Guards against findings without line numbers, and against reporting only the
// first one.
TEST(configuration_file, all_findings_are_reported_with_their_position)
{
  const auto read = parse_configuration(
      "version = \"1\"\nidle_timeout_ms = 1\nservices = [3]\n"
      "[[route]]\nname = \"r\"\naddress = \"nowhere\"\ntimeout_ms = -1\n",
      "c.toml");
  std::string keys;
  for (const auto& item : std::get<findings>(read))
    keys += std::to_string(item.line) + ":" + item.key + " ";
  STRCMP_EQUAL("1:version 3:services 4:route[0].address 7:route[0].timeout_ms "
               "4:route[0].targets ",
               keys.c_str());
}
