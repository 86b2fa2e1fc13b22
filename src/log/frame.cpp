#include "frame.hpp"

namespace toucanmill::log_detail
{

namespace
{

constexpr std::size_t header_bytes = 12;
constexpr char end_marker = '\xA5';

/// Disks write whole sectors, so the zeros that an interrupted write leaves
/// start at a multiple of this size.
constexpr std::size_t sector_bytes = 512;

void append_u32(std::string& out, std::uint32_t value)
{
  for (int shift = 0; shift < 32; shift += 8)
    out.push_back(static_cast<char>(value >> shift & 0xFF));
}

std::uint32_t read_u32(std::string_view in, std::size_t offset)
{
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i)
    value |=
        static_cast<std::uint32_t>(static_cast<unsigned char>(in[offset + i]))
        << (8 * i);
  return value;
}

// Whether the file contains only zeros from the offset, or from a later sector
// boundary, to its end.
bool ends_in_zeros(std::string_view file, std::size_t offset)
{
  const auto last = file.find_last_not_of('\0');
  if (last == std::string_view::npos || last < offset)
    return true;
  const auto zeros = (last / sector_bytes + 1) * sector_bytes;
  return zeros < file.size();
}

frame_view invalid_frame(std::string_view file, std::size_t offset,
                         const char* reason)
{
  const bool torn = ends_in_zeros(file, offset);
  return {torn ? frame_status::torn : frame_status::corrupt, {}, 0, reason};
}

} // namespace

std::uint32_t crc32c(std::string_view bytes)
{
  crc32c_sum sum;
  sum.add(bytes);
  return sum.value();
}

std::string make_frame(std::string_view payload)
{
  std::string frame;
  frame.reserve(header_bytes + payload.size() + 1);
  append_u32(frame, static_cast<std::uint32_t>(payload.size()));
  append_u32(frame, crc32c(payload));
  append_u32(frame, crc32c(frame));
  frame += payload;
  frame.push_back(end_marker);
  return frame;
}

frame_view read_frame(std::string_view file, std::size_t offset)
{
  const auto rest = file.substr(offset);
  if (rest.size() < header_bytes)
    return {frame_status::torn, {}, 0, "truncated frame header"};
  if (crc32c(rest.substr(0, 8)) != read_u32(rest, 8))
    return invalid_frame(file, offset, "frame header checksum mismatch");
  const std::size_t length = read_u32(rest, 0);
  if (rest.size() < header_bytes + length + 1)
    return {frame_status::torn, {}, 0, "truncated frame payload"};
  const auto payload = rest.substr(header_bytes, length);
  if (crc32c(payload) != read_u32(rest, 4))
    return invalid_frame(file, offset, "frame payload checksum mismatch");
  if (rest[header_bytes + length] != end_marker)
    return invalid_frame(file, offset, "invalid frame end marker");
  return {frame_status::complete, payload, header_bytes + length + 1, ""};
}

} // namespace toucanmill::log_detail
