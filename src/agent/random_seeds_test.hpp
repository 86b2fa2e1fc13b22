#ifndef TOUCANMILL_SRC_AGENT_RANDOM_SEEDS_TEST_HPP
#define TOUCANMILL_SRC_AGENT_RANDOM_SEEDS_TEST_HPP

#include <cstdint>
#include <cstdlib>

namespace toucanmill::test
{

/// Number of seeds of a randomised test: TOUCANMILL_SEEDS, else the default.
inline std::uint64_t seed_count(std::uint64_t by_default)
{
  const char* const text = std::getenv("TOUCANMILL_SEEDS");
  return text == nullptr ? by_default : std::strtoull(text, nullptr, 10);
}

} // namespace toucanmill::test

#endif
