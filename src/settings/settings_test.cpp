#include <toucanmill/settings/settings.hpp>

#include <filesystem>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

namespace
{

const char* const good_agent = R"(
role = "agent"
name = "agent-1"
data_centre = "spata"
control_endpoints = ["127.0.0.1:7001", "127.0.0.1:7002"]
[agent]
data = "127.0.0.1:6101"
upstream = "127.0.0.1:8001"
service = "defects"
slots = 6
)";

std::string messages(const settings_or_findings& parsed)
{
  std::string text;
  if (const auto* found = std::get_if<findings>(&parsed))
    for (const auto& item : *found)
      text += to_string(item) + "\n";
  return text;
}

} // namespace

TEST_GROUP(settings){};

TEST(settings, good_file_gives_values_and_defaults)
{
  const auto parsed = parse_settings(good_agent, "agent.toml");
  STRCMP_EQUAL("", messages(parsed).c_str());
  const auto& value = std::get<settings>(parsed);
  const auto& agent = std::get<agent_settings>(value.role);
  CHECK_EQUAL(2U, value.instance.control.size());
  CHECK_EQUAL(6U, agent.slots);
  CHECK_EQUAL(2000U, agent.connections);
}

// Guards against a default that closes the way back to the earlier build.
TEST(settings, format_version_is_not_raised_by_default)
{
  CHECK_TRUE(control_settings{}.raise_format_after.count() == 0);
}

// Guards against a default stop limit that cuts the sessions of a night: the
// rehearsal lost 18 feeds of drained agents to a limit of 60 s.
TEST(settings, default_stop_limit_outlasts_a_night)
{
  const auto parsed = parse_settings(good_agent, "agent.toml");
  CHECK_TRUE(std::get<settings>(parsed).instance.stop_limit >=
             std::chrono::hours(24));
}

// Guards against reporting only the first problem of a file, or losing the
// place of one.
TEST(settings, all_findings_come_together_with_their_place)
{
  const auto parsed = parse_settings(R"(role = "agent"
name = "Agent 1"
data_centre = "spata"
control_endpoints = ["127.0.0.1:7001", "nowhere"]
[agent]
data = 5
upstream = "127.0.0.1:8001"
slots = 0
colour = "red"
)",
                                     "bad.toml");
  const auto text = messages(parsed);
  STRCMP_CONTAINS("bad.toml:2:8: name: must be 1 to 63", text.c_str());
  STRCMP_CONTAINS("bad.toml:4:40: control_endpoints: \"nowhere\"",
                  text.c_str());
  STRCMP_CONTAINS("bad.toml:6:8: agent.data: must be a string", text.c_str());
  STRCMP_CONTAINS("bad.toml:8:9: agent.slots: must be an integer from 1",
                  text.c_str());
  STRCMP_CONTAINS("agent.service: is required", text.c_str());
  STRCMP_CONTAINS("bad.toml:9:1: agent.colour: is not a known key",
                  text.c_str());
}

// Guards against starting with settings that TOML could not read.
TEST(settings, syntax_errors_and_missing_files_are_findings)
{
  CHECK_FALSE(messages(parse_settings("role = ", "x.toml")).empty());
  CHECK_FALSE(messages(load_settings("/nonexistent.toml")).empty());
}

// Guards against a section of another role that silently has no effect.
TEST(settings, section_of_another_role_is_a_finding)
{
  const auto text =
      messages(parse_settings(std::string(good_agent) + "[balancer]\n", "x"));
  STRCMP_CONTAINS("balancer: is a section of another role", text.c_str());
}

// Guards against example files that no longer match the program.
TEST(settings, shipped_examples_are_valid)
{
  const std::filesystem::path folder = TOUCANMILL_SOURCE_DIR "/config";
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
  {
    ++files;
    STRCMP_EQUAL("", messages(load_settings(entry.path().string())).c_str());
  }
  CHECK_EQUAL(3, files);
}

// Guards against a mode whose keys are not checked when the process starts.
TEST(settings, modes_name_the_keys_that_they_need)
{
  const std::string relay = R"(role = "agent"
name = "a"
data_centre = "z"
control_seeds = ["10.0.0.1:80", "10.0.0.2:80"]
control_rpc_port = 7720
[agent]
mode = "relay"
data = "10.0.0.9:7000"
upstream = "10.0.0.9:8080"
service = "notes"
)";
  STRCMP_CONTAINS("agent.outbound: is required",
                  messages(parse_settings(relay, "x")).c_str());
  const auto parsed =
      parse_settings(relay + "outbound = \"10.0.0.9:7001\"\n", "x");
  STRCMP_EQUAL("", messages(parsed).c_str());
  const auto control = control_endpoints(std::get<settings>(parsed).instance);
  CHECK_EQUAL(2U, control.size());
  STRCMP_EQUAL("10.0.0.2:7720", to_string(control[1]).c_str());
  STRCMP_CONTAINS(
      "balancer.relay: is required",
      messages(parse_settings("role = \"balancer\"\nname = \"b\"\n"
                              "data_centre = \"z\"\n"
                              "control_endpoints = [\"10.0.0.1:1\"]\n"
                              "[balancer]\nmode = \"direct\"\n"
                              "data = \"10.0.0.9:7000\"\n",
                              "x"))
          .c_str());
}
