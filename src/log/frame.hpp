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

/// CRC-32C of the parts of a large content.
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

/// A frame is a header (length, CRC-32C of the payload, CRC-32C of the eight
/// octets before, each 4 octets, little endian), the payload and an end mark.
/// The end mark is not zero, so zeros at the end of a file are never part of a
/// complete frame.
std::string make_frame(std::string_view payload);

enum class frame_status
{
  complete,
  torn,    ///< an interrupted write: it ends early or in zeros
  corrupt, ///< present in full, but with a wrong checksum
};

struct frame_view
{
  frame_status status = frame_status::complete;
  std::string_view payload;
  std::size_t size = 0; ///< octets in the file
  const char* reason = "";
};

/// Reads the frame at the offset, which is before the end of the file.
frame_view read_frame(std::string_view file, std::size_t offset);

} // namespace toucanmill::log_detail

#endif
