#ifndef TOUCANMILL_SRC_LOG_FRAME_HPP
#define TOUCANMILL_SRC_LOG_FRAME_HPP

#include <boost/crc.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucanmill::log_detail
{

std::uint32_t crc32c(std::string_view bytes);

/// Incremental CRC-32C, for data that is processed in parts.
class crc32c_sum
{
public:
  void add(std::string_view bytes)
  {
    sum_.process_bytes(bytes.data(), bytes.size());
  }
  std::uint32_t value() const
  {
    return sum_.checksum();
  }

private:
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> sum_;
};

/// A frame is a header, the payload and an end marker of one octet. The header
/// has three 4-octet little-endian fields: payload length, CRC-32C of the
/// payload, CRC-32C of the preceding two fields. The end marker is not zero, so
/// zeros at the end of a file are never part of a complete frame.
std::string make_frame(std::string_view payload);

enum class frame_status
{
  complete,
  torn,    ///< interrupted write: truncated or ends in zeros
  corrupt, ///< not truncated, but a checksum or the end marker is wrong
};

struct frame_view
{
  frame_status status = frame_status::complete;
  std::string_view payload;
  std::size_t size = 0; ///< octets of the whole frame
  const char* reason = "";
};

/// Reads the frame at the offset, which must be less than the file size.
frame_view read_frame(std::string_view file, std::size_t offset);

} // namespace toucanmill::log_detail

#endif
