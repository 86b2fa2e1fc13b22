#ifndef TOUCANMILL_SRC_CONTROL_MESSAGE_COMPRESSION_HPP
#define TOUCANMILL_SRC_CONTROL_MESSAGE_COMPRESSION_HPP

#include <cstddef>
#include <optional>
#include <string>

#include <toucanmill/base/outcome.hpp>

namespace toucanmill::detail
{

/// Limit of a decompressed message, in octets. Replication messages are at most
/// half as large: a command of 8 MiB after entries of 256 KiB.
constexpr std::size_t max_decompressed_octets = std::size_t{16} << 20;

/// Returns the message in zlib's format; none if that is not smaller or the
/// message exceeds the limit.
std::optional<std::string> compress(const std::string& message);

/// Restores a message of `size` octets. Errors: limit_reached for a size above
/// the limit; corrupt_data if the data is malformed or has another size.
result<std::string> decompress(const std::string& bytes, std::size_t size);

} // namespace toucanmill::detail

#endif
