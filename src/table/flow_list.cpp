#include <toucanmill/table/flow_list.hpp>

#include <algorithm>

#include <boost/endian/conversion.hpp>

#include <toucanmill/base/octets.hpp>

namespace toucanmill
{

namespace
{

constexpr std::uint32_t list_format = 1;
constexpr std::uint32_t last_list_format = 2; ///< and last_announcement
constexpr std::size_t header_octets = 20;
constexpr std::size_t last_list_header_octets = 28;
constexpr std::size_t flow_octets = 16;

std::size_t max_flows(std::size_t header)
{
  return (max_flow_list_octets - header) / flow_octets;
}

void store(unsigned char* to, const listed_flow& value)
{
  boost::endian::store_big_u32(to, value.flow.caller.address.value);
  boost::endian::store_big_u32(to + 4, value.flow.service.address.value);
  boost::endian::store_big_u16(to + 8, value.flow.caller.port);
  boost::endian::store_big_u16(to + 10, value.flow.service.port);
  boost::endian::store_big_u32(to + 12, value.acknowledged);
}

listed_flow load(const unsigned char* from)
{
  listed_flow value;
  value.flow.caller.address.value = boost::endian::load_big_u32(from);
  value.flow.service.address.value = boost::endian::load_big_u32(from + 4);
  value.flow.caller.port = boost::endian::load_big_u16(from + 8);
  value.flow.service.port = boost::endian::load_big_u16(from + 10);
  value.acknowledged = boost::endian::load_big_u32(from + 12);
  return value;
}

} // namespace

std::string encode(const flow_list& list)
{
  const bool is_last = list.last_announcement != 0 &&
                       list.flows.size() <= max_flows(last_list_header_octets);
  const auto header = is_last ? last_list_header_octets : header_octets;
  const auto count = std::min(list.flows.size(), max_flows(header));
  std::string bytes(header + count * flow_octets, '\0');
  boost::endian::store_big_u32(octets_at(bytes, 0),
                               is_last ? last_list_format : list_format);
  boost::endian::store_big_u64(octets_at(bytes, 4), list.of.instance);
  boost::endian::store_big_u64(octets_at(bytes, 12), list.of.born_ms);
  if (is_last)
    boost::endian::store_big_u64(octets_at(bytes, header_octets),
                                 list.last_announcement);
  for (std::size_t i = 0; i < count; ++i)
    store(octets_at(bytes, header + i * flow_octets), list.flows[i]);
  return bytes;
}

result<flow_list> decode_flow_list(std::string_view bytes)
{
  const auto format = bytes.size() < header_octets
                          ? 0
                          : boost::endian::load_big_u32(octets_at(bytes, 0));
  if (bytes.size() >= header_octets && format != list_format &&
      format != last_list_format)
    return error{error_code::corrupt_data,
                 "a flow list of format " + std::to_string(format)};
  const bool is_last = format == last_list_format;
  const auto header = is_last ? last_list_header_octets : header_octets;
  if (bytes.size() < header || bytes.size() > max_flow_list_octets ||
      (bytes.size() - header) % flow_octets != 0)
    return error{error_code::corrupt_data,
                 "a flow list of " + std::to_string(bytes.size()) + " octets"};
  flow_list list;
  list.of.instance = boost::endian::load_big_u64(octets_at(bytes, 4));
  list.of.born_ms = boost::endian::load_big_u64(octets_at(bytes, 12));
  if (is_last)
    list.last_announcement =
        boost::endian::load_big_u64(octets_at(bytes, header_octets));
  for (std::size_t at = header; at < bytes.size(); at += flow_octets)
    list.flows.push_back(load(octets_at(bytes, at)));
  return list;
}

} // namespace toucanmill
