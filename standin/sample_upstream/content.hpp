#ifndef TOUCANMILL_SAMPLE_UPSTREAM_CONTENT_HPP
#define TOUCANMILL_SAMPLE_UPSTREAM_CONTENT_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucanmill::sample_upstream
{

/// Octets of the repeated block of a download. A prime, so that a shifted or
/// repeated segment of a power-of-two size changes the checksum.
inline constexpr std::size_t block_size = 65521;

/// The block that a download repeats; the same in every process.
const std::array<char, block_size>& download_block();

/// Largest piece of a download at this offset, up to the end of the block.
std::string_view download_piece(std::uint64_t offset, std::uint64_t size);

/// XXH3 64 bit of a whole download in hexadecimal.
std::string download_checksum(std::uint64_t size);

} // namespace toucanmill::sample_upstream

#endif
