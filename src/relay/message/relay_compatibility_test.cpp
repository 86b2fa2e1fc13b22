#include <CppUTest/TestHarness.h>

#include "../../base/recorded_octets_test.hpp"
#include "relay_samples_test.hpp"

using namespace toucanmill;
using namespace toucanmill::relay_test;

namespace
{

const std::string earlier_build = "faf1efe";

byte_view view_of(const std::string& octets)
{
  return {reinterpret_cast<const std::uint8_t*>(octets.data()), octets.size()};
}

} // namespace

TEST_GROUP(relay_compatibility){};

// Guards against packets that are lost while balancers and agents have
// different builds.
TEST(relay_compatibility, messages_of_the_earlier_build_are_read)
{
  const auto recorded = test::recorded_octets("relay", earlier_build);
  for (const auto& [name, header] : sample_headers())
  {
    const auto datagram = recorded.at(name) + "packet";
    const auto decoded = decode_relay_message(view_of(datagram));
    CHECK_TRUE_TEXT(decoded.has_value(), name.c_str());
    CHECK_TRUE_TEXT(decoded->header == header, name.c_str());
    CHECK_EQUAL(6U, decoded->packet.size);
  }
  CHECK_TRUE(*decode_flow(view_of(recorded.at("flow"))) == sample_flow());
}

// Guards against messages that only a newer build can read.
TEST(relay_compatibility, messages_are_written_as_by_the_earlier_build)
{
  const auto recorded = test::recorded_octets("relay", earlier_build);
  STRCMP_EQUAL("", test::differences(recorded, encoded_samples()).c_str());
}
