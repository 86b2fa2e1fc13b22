#include <toucanmill/cluster/wire.hpp>

#include "text.hpp"

namespace toucanmill::wire
{

using detail::copy_text;

namespace
{

error corrupt(std::string message)
{
  return {error_code::corrupt_data, std::move(message)};
}

bool is_power_of_two(std::uint32_t value)
{
  return value != 0 && (value & (value - 1)) == 0;
}

void write_holder(schema::Holder::Builder to, const holder& value)
{
  to.setNode(value.node.value);
  write(to.initAgent(), value.agent);
  to.setSuspect(value.suspect);
  to.setDataCentre(value.data_centre);
}

holder read_holder(schema::Holder::Reader from)
{
  return {node_id{from.getNode()}, read(from.getAgent()), from.getSuspect(),
          from.getDataCentre()};
}

bool contains(const chain& value, std::uint16_t index)
{
  return std::find(value.begin(), value.end(), index) != value.end();
}

} // namespace

void write(schema::Version::Builder to, const table_version& value)
{
  to.setTerm(value.term);
  to.setIndex(value.index);
}

table_version read(schema::Version::Reader from)
{
  return {from.getTerm(), from.getIndex()};
}

void write(schema::Endpoint::Builder to, const endpoint& value)
{
  to.setAddress(value.address.value);
  to.setPort(value.port);
}

endpoint read(schema::Endpoint::Reader from)
{
  return {ipv4_address{from.getAddress()}, from.getPort()};
}

std::vector<std::uint8_t> pack_chains(const std::vector<chain>& buckets)
{
  std::vector<std::uint8_t> packed;
  packed.reserve(buckets.size() * 3);
  for (const auto& bucket : buckets)
  {
    packed.push_back(bucket.size);
    for (const auto index : bucket)
    {
      packed.push_back(static_cast<std::uint8_t>(index & 0xff));
      packed.push_back(static_cast<std::uint8_t>(index >> 8));
    }
  }
  return packed;
}

result<std::vector<chain>> unpack_chains(const std::uint8_t* data,
                                         std::size_t size,
                                         std::size_t bucket_count,
                                         std::size_t holder_count)
{
  std::vector<chain> buckets(bucket_count);
  std::size_t at = 0;
  for (auto& bucket : buckets)
  {
    if (at >= size)
      return corrupt("chain data ends before the last bucket");
    const std::size_t length = data[at++];
    if (length > max_chain_length || size - at < 2 * length)
      return corrupt("invalid chain length " + std::to_string(length));
    for (; bucket.size < length; at += 2)
    {
      const auto index =
          static_cast<std::uint16_t>(data[at] | (data[at + 1] << 8));
      if (index >= holder_count || contains(bucket, index))
        return corrupt("invalid or repeated holder index in a chain: " +
                       std::to_string(index));
      bucket.holders[bucket.size++] = index;
    }
  }
  if (at != size)
    return corrupt("chain data continues after the last bucket");
  return buckets;
}

void write(schema::ServiceTable::Builder to, const service_table& value)
{
  to.setId(value.id.value);
  to.setName(value.name);
  write(to.initAddress(), value.address);
  to.setKind(to_schema(value.kind));
  write(to.initVersion(), value.version);
  auto holders = to.initHolders(static_cast<unsigned>(value.holders.size()));
  for (unsigned i = 0; i < holders.size(); ++i)
    write_holder(holders[i], value.holders[i]);
  to.setBucketCount(static_cast<std::uint32_t>(value.buckets.size()));
  const auto packed = pack_chains(value.buckets);
  to.setChains(kj::arrayPtr(packed.data(), packed.size()));
  const auto& former = value.former_addresses;
  auto list = to.initFormerAddresses(static_cast<unsigned>(former.size()));
  for (unsigned i = 0; i < list.size(); ++i)
    write(list[i], former[i]);
  to.setWarmUpRate(value.warm_up_rate);
}

result<service_table> read(schema::ServiceTable::Reader from)
{
  service_table value;
  value.id = service_id{from.getId()};
  value.name = copy_text(from.getName());
  value.address = read(from.getAddress());
  value.version = read(from.getVersion());
  BOOST_OUTCOME_TRY(kind, read(from.getKind()));
  value.kind = kind;
  for (const auto item : from.getHolders())
    value.holders.push_back(read_holder(item));
  const auto count = from.getBucketCount();
  if (!is_power_of_two(count) || count > max_bucket_count)
    return corrupt("service \"" + value.name + "\" has " +
                   std::to_string(count) +
                   " buckets, which is not a power of two up to 65536");
  const auto packed = from.getChains();
  BOOST_OUTCOME_TRY(buckets, unpack_chains(packed.begin(), packed.size(), count,
                                           value.holders.size()));
  value.buckets = std::move(buckets);
  if (from.getFormerAddresses().size() > max_former_addresses)
    return corrupt("service \"" + value.name +
                   "\" has too many former addresses");
  for (const auto address : from.getFormerAddresses())
    value.former_addresses.push_back(read(address));
  value.warm_up_rate = from.getWarmUpRate();
  return value;
}

void write(schema::TableUpdate::Builder to, const table_update& value)
{
  write(to.initVersion(), value.version);
  to.setFull(value.full);
  auto changed = to.initChanged(static_cast<unsigned>(value.changed.size()));
  for (unsigned i = 0; i < changed.size(); ++i)
    write(changed[i], value.changed[i]);
  auto removed = to.initRemoved(static_cast<unsigned>(value.removed.size()));
  for (unsigned i = 0; i < removed.size(); ++i)
    removed.set(i, value.removed[i].value);
  if (value.declared)
    write(to.initDeclared(), *value.declared);
  write(to.initBase(), value.base);
  if (value.routes)
    write(to.initRouteChanges(), *value.routes);
  if (value.evacuated)
    to.setEvacuated(
        kj::arrayPtr(value.evacuated->data(), value.evacuated->size()));
}

result<table_update> read(schema::TableUpdate::Reader from)
{
  table_update value;
  value.version = read(from.getVersion());
  value.full = from.getFull();
  for (const auto item : from.getChanged())
  {
    BOOST_OUTCOME_TRY(service, read(item));
    value.changed.push_back(std::move(service));
  }
  for (const auto id : from.getRemoved())
    value.removed.push_back(service_id{id});
  if (from.hasDeclared())
    value.declared = read(from.getDeclared());
  value.base = read(from.getBase());
  if (from.hasRouteChanges())
    value.routes = read(from.getRouteChanges());
  if (from.hasEvacuated())
  {
    value.evacuated.emplace();
    for (const auto key : from.getEvacuated())
      value.evacuated->push_back(key);
  }
  return value;
}

} // namespace toucanmill::wire
