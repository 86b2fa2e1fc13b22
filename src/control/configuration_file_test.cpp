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
