#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include <boost/endian/conversion.hpp>

#include <platform/packet_layout.hpp>
#include <toucanmill/relay/relay_message.hpp>

using namespace toucanmill;

namespace
{

namespace fs = std::filesystem;

using octets = std::vector<std::uint8_t>;

const flow_key sample_flow{{{0x64400007}, 40001}, {{0xC6120001}, 443}};

octets packet(std::uint8_t flags, std::string_view data)
{
  constexpr std::size_t length_at = 16;
  constexpr std::size_t flags_at = 18;
  auto bytes = platform::make_packet_codec()->make_reset(sample_flow, 7);
  boost::endian::store_big_u16(bytes.data() + length_at,
                               static_cast<std::uint16_t>(data.size()));
  bytes[flags_at] = flags;
  bytes.insert(bytes.end(), data.begin(), data.end());
  return bytes;
}

std::vector<octets> packet_seeds()
{
  const std::string fill(platform::max_packet_data, 'x');
  return {
      packet(16, ""),
      packet(48, ""),
      packet(33, ""),
      packet(96, fill),
      packet(32, "GET /a HTTP/1.1\r\nHost: x\r\nRequest-Id: 4f-a\r\n\r\n"),
      packet(40, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
      packet(32, "HTTP/1.1 503 Service Unavailable\r\n\r\n"),
      packet(32, "HTTP/1.1 50"),
  };
}

octets message(const relay_header& header, const octets& body)
{
  const auto encoded = encode(header);
  octets bytes(encoded.bytes.begin(), encoded.bytes.begin() + encoded.size);
  bytes.insert(bytes.end(), body.begin(), body.end());
  return bytes;
}

relay_header visit(std::uint8_t stops)
{
  relay_header header;
  header.service = key_of_service("notes");
  header.configuration = 12;
  header.table = 34;
  header.balancer = {{0x0A000001}, 7720};
  for (std::uint8_t i = 0; i < stops; ++i)
    header.stops.add({{0x0A000002U + i}, 7720});
  return header;
}

std::vector<octets> message_seeds()
{
  const auto flow = encode(sample_flow);
  const octets flow_body(flow.begin(), flow.end());
  auto opening = visit(8);
  opening.stop = 3;
  opening.near_stops = 6;
  opening.best_stop = 1;
  opening.best_wait_ms = 40;
  auto last = opening;
  last.stop = 1;
  last.final_stop = true;
  auto question = visit(visit_stops::capacity);
  question.locates = true;
  question.undecided = 513;
  question.plan = 2;
  question.stage = 1;
  auto found = visit(0);
  found.kind = relay_kind::found;
  auto missed = visit(4);
  missed.kind = relay_kind::missed;
  missed.reason = miss_reason::refused;
  missed.inconclusive = true;
  return {message(visit(1), packet(32, "GET / HTTP/1.1\r\n\r\n")),
          message(opening, packet(16, "")),
          message(last, packet(16, "")),
          message(question, flow_body),
          message(found, flow_body),
          message(missed, packet(16, ""))};
}

void write(const fs::path& folder, const std::vector<octets>& seeds)
{
  fs::create_directories(folder);
  for (std::size_t i = 0; i < seeds.size(); ++i)
  {
    std::ofstream file(folder / std::to_string(i), std::ios::binary);
    file.write(reinterpret_cast<const char*>(seeds[i].data()),
               static_cast<std::streamsize>(seeds[i].size()));
  }
}

} // namespace

/// Writes a folder of seeds for each fuzz target that needs some.
int main(int argc, char** argv)
{
  if (argc != 2)
  {
    std::fputs("usage: make_seeds DIRECTORY\n", stderr);
    return 2;
  }
  const fs::path folder = argv[1];
  write(folder / "packet_layout", packet_seeds());
  write(folder / "relay_message", message_seeds());
  return 0;
}
