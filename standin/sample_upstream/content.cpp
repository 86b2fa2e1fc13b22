#include "content.hpp"

#include <xxhash.h>

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <random>

namespace toucanmill::sample_upstream
{

const std::array<char, block_size>& download_block()
{
  static const auto block = []
  {
    std::array<char, block_size> made{};
    // The fixed seed makes the body the same in every process.
    std::mt19937 random(1); // NOLINT(bugprone-random-generator-seed)
    for (auto& octet : made)
      octet = static_cast<char>(random());
    return made;
  }();
  return block;
}

std::string_view download_piece(std::uint64_t offset, std::uint64_t size)
{
  const auto start = static_cast<std::size_t>(offset % block_size);
  const auto length = static_cast<std::size_t>(
      std::min<std::uint64_t>(block_size - start, size - offset));
  return {download_block().data() + start, length};
}

std::string download_checksum(std::uint64_t size)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  for (std::uint64_t offset = 0; offset < size;)
  {
    const auto piece = download_piece(offset, size);
    XXH3_64bits_update(state.get(), piece.data(), piece.size());
    offset += piece.size();
  }
  return fmt::format("{:016x}", XXH3_64bits_digest(state.get()));
}

} // namespace toucanmill::sample_upstream
