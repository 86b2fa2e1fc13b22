#include "message_compression.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

#include <toucanmill/cluster/command.hpp>

using namespace toucanmill;
using namespace toucanmill::detail;

namespace
{

std::string random_name(std::mt19937& random)
{
  std::string name(7, 'a');
  for (auto& letter : name)
    letter = static_cast<char>('a' + random() % 26);
  return name;
}

/// A declaration with two targets a route, and its document in JSON.
std::string make_declaration(std::size_t routes)
{
  std::mt19937 random(1);
  configuration value;
  value.version = 7;
  for (int i = 0; i < 60; ++i)
    value.services.push_back(random_name(random));
  for (std::size_t i = 0; i < routes; ++i)
  {
    route made;
    made.name = "r-" + random_name(random);
    made.address = {{0xC6120000 + static_cast<std::uint32_t>(random() % 65536)},
                    static_cast<std::uint16_t>(random() % 2 == 0 ? 8443 : 80)};
    made.timeout_ms = 1000 + random() % 20 * 100;
    for (const std::uint32_t weight : {90, 10})
      made.targets.push_back(
          {value.services[random() % value.services.size()], weight});
    value.document +=
        "{\"name\":\"" + made.name + "\",\"host\":\"" +
        to_string(made.address.address) + "\",\"pathPrefix\":\"/" +
        std::to_string(made.address.port) +
        "/\",\"routeType\":\"safe\",\"timeoutMs\":" +
        std::to_string(made.timeout_ms) +
        ",\"latencyGoalMs\":150,\"priority\":2,\"trafficSplit\":[{\"service\":"
        "\"" +
        made.targets[0].service + "\",\"weight\":90},{\"service\":\"" +
        made.targets[1].service + "\",\"weight\":10}],\"maxAttempts\":2},";
    value.routes.push_back(std::move(made));
  }
  return encode(command{declare_configuration{std::move(value)}});
}

} // namespace

TEST_GROUP(message_compression){};

// Guards against a message that changes on its way, and against declarations
// that a slow link carries at nearly their full size.
TEST(message_compression, declaration_is_restored_from_a_third_of_its_size)
{
  const auto message = make_declaration(1'400);
  const auto compressed = compress(message);
  CHECK_TRUE(compressed.has_value());
  CHECK_TRUE(compressed->size() < message.size() / 3);
  const auto restored = decompress(*compressed, message.size());
  CHECK_TRUE(restored.has_value());
  CHECK_TRUE(restored.value() == message);
}

// Guards against a compressed message that is larger than the original.
TEST(message_compression, random_data_is_not_compressed)
{
  std::mt19937 random(1);
  std::string message(10'000, '\0');
  for (auto& octet : message)
    octet = static_cast<char>(random());
  CHECK_FALSE(compress(message).has_value());
}

// Guards against malformed data that is taken for a message.
TEST(message_compression, malformed_data_is_refused)
{
  const std::string message(10'000, 'x');
  const auto compressed = *compress(message);
  const auto is_refused = [](const std::string& bytes, std::size_t size)
  {
    const auto restored = decompress(bytes, size);
    return !restored && restored.error().code == error_code::corrupt_data;
  };
  CHECK_TRUE(is_refused("", 10));
  CHECK_TRUE(is_refused(message, 10'000));
  CHECK_TRUE(is_refused(compressed, 9'999));
  CHECK_TRUE(is_refused(compressed, 10'001));
  CHECK_TRUE(is_refused(compressed + 'x', 10'000));
  for (std::size_t size = 0; size < compressed.size(); ++size)
    CHECK_TRUE(is_refused(compressed.substr(0, size), 10'000));
}

// Guards against a few octets that take all memory.
TEST(message_compression, decompressed_size_is_limited)
{
  const auto restored = decompress("x", max_decompressed_octets + 1);
  CHECK_FALSE(restored.has_value());
  CHECK_TRUE(restored.error().code == error_code::limit_reached);
  CHECK_FALSE(
      compress(std::string(max_decompressed_octets + 1, 'x')).has_value());
}
