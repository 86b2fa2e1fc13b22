#include "frame.hpp"

namespace toucanmill::log_detail
{

namespace
{

constexpr std::size_t header_bytes = 12;
constexpr char end_mark = '\xA5';

/// Unit in which a disk writes: an interrupted write leaves zeros from a
/// multiple of it on.
constexpr std::size_t sector_bytes = 512;

void put(std::string& out, std::uint32_t value)
{
  for (int shift = 0; shift < 32; shift += 8)
    out.push_back(static_cast<char>(value >> shift & 0xFF));
}

std::uint32_t get(std::string_view in, std::size_t offset)
{
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i)
    value |=
        static_cast<std::uint32_t>(static_cast<unsigned char>(in[offset + i]))
        << (8 * i);
  return value;
}

// Whether the file is zero from the offset, or a later sector, to its end.
bool ends_in_zeros(std::string_view file, std::size_t offset)
{
  const auto last = file.find_last_not_of('\0');
  if (last == std::string_view::npos || last < offset)
    return true;
  const auto zeros = (last / sector_bytes + 1) * sector_bytes;
  return zeros < file.size();
}

frame_view bad(std::string_view file, std::size_t offset, const char* reason)
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
  put(frame, static_cast<std::uint32_t>(payload.size()));
  put(frame, crc32c(payload));
  put(frame, crc32c(frame));
  frame += payload;
  frame.push_back(end_mark);
  return frame;
}

frame_view read_frame(std::string_view file, std::size_t offset)
{
  const auto rest = file.substr(offset);
  if (rest.size() < header_bytes)
    return {frame_status::torn, {}, 0, "header ends early"};
  if (crc32c(rest.substr(0, 8)) != get(rest, 8))
    return bad(file, offset, "wrong checksum of the header");
  const std::size_t length = get(rest, 0);
  if (rest.size() < header_bytes + length + 1)
    return {frame_status::torn, {}, 0, "payload ends early"};
  const auto payload = rest.substr(header_bytes, length);
  if (crc32c(payload) != get(rest, 4))
    return bad(file, offset, "wrong checksum of the payload");
  if (rest[header_bytes + length] != end_mark)
    return bad(file, offset, "wrong end mark");
  return {frame_status::complete, payload, header_bytes + length + 1, ""};
}

} // namespace toucanmill::log_detail
