#include <toucanmill/base/address.hpp>

#include <CppUTest/TestHarness.h>

using namespace toucanmill;

TEST_GROUP(address){};

// Guards against byte-order mistakes between text and value.
TEST(address, endpoint_survives_a_round_trip)
{
  const auto parsed = parse_endpoint("203.0.113.10:8080");
  CHECK_TRUE(parsed.has_value());
  CHECK_EQUAL(0xCB00710AU, parsed.value().address.value);
  CHECK_TRUE(to_string(parsed.value()) == "203.0.113.10:8080");
}

// Guards against accepting a malformed setting as some other address.
TEST(address, malformed_text_is_an_error)
{
  for (const char* text : {"", "1.2.3.4", "1.2.3:80", "1.2.3.4:0",
                           "1.2.3.4:65536", "1.2.3.4:8x", "host:80"})
    CHECK_FALSE(parse_endpoint(text).has_value());
}
