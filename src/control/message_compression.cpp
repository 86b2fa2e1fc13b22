#include "message_compression.hpp"

#include <zlib.h>

namespace toucanmill::detail
{

namespace
{

unsigned char* octets(std::string& bytes)
{
  return reinterpret_cast<unsigned char*>(bytes.data());
}

const unsigned char* octets(const std::string& bytes)
{
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

error malformed(const std::string& bytes, std::size_t size)
{
  return error{error_code::corrupt_data,
               "malformed compressed message: " + std::to_string(bytes.size()) +
                   " octets do not decompress to " + std::to_string(size)};
}

} // namespace

std::optional<std::string> compress(const std::string& message)
{
  if (message.size() > max_decompressed_octets)
    return std::nullopt;
  std::string bytes(compressBound(message.size()), '\0');
  auto size = static_cast<uLongf>(bytes.size());
  // The fastest level: the leader compresses a message for each instance.
  if (compress2(octets(bytes), &size, octets(message), message.size(),
                Z_BEST_SPEED) != Z_OK ||
      size >= message.size())
    return std::nullopt;
  bytes.resize(size);
  return bytes;
}

result<std::string> decompress(const std::string& bytes, std::size_t size)
{
  if (size > max_decompressed_octets)
    return error{error_code::limit_reached,
                 "compressed message of " + std::to_string(size) +
                     " octets exceeds the limit of " +
                     std::to_string(max_decompressed_octets)};
  std::string message(size, '\0');
  auto restored = static_cast<uLongf>(size);
  auto used = static_cast<uLong>(bytes.size());
  if (uncompress2(octets(message), &restored, octets(bytes), &used) != Z_OK ||
      restored != size || used != bytes.size())
    return malformed(bytes, size);
  return message;
}

} // namespace toucanmill::detail
