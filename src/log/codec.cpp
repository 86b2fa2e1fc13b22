#include "codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <exception>
#include <kj/exception.h>
#include <log.capnp.h>
#include <optional>

namespace toucanmill::log_detail
{

namespace
{

namespace schema = toucanmill::log_schema;

kj::ArrayPtr<const kj::byte> as_byte_array(std::string_view bytes)
{
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

std::string copy_bytes(capnp::Data::Reader data)
{
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

void write(schema::Position::Builder out, const table_version& position)
{
  out.setTerm(position.term);
  out.setIndex(position.index);
}

table_version read(schema::Position::Reader in)
{
  return {in.getTerm(), in.getIndex()};
}

void write(schema::Entry::Builder out, const log_entry& entry)
{
  write(out.initPosition(), entry.position);
  out.setKind(static_cast<std::uint8_t>(entry.kind));
  out.setPayload(as_byte_array(entry.payload));
}

std::optional<log_entry> read(schema::Entry::Reader in)
{
  if (in.getKind() > static_cast<std::uint8_t>(entry_kind::membership))
    return std::nullopt;
  return log_entry{read(in.getPosition()),
                   static_cast<entry_kind>(in.getKind()),
                   copy_bytes(in.getPayload())};
}

void write(schema::Member::Builder out, const replica_address& member)
{
  out.setId(member.id.value);
  out.setAddress(member.rpc.address.value);
  out.setPort(member.rpc.port);
  out.setVoter(member.voter);
}

replica_address read(schema::Member::Reader in)
{
  return {replica_id{in.getId()},
          endpoint{ipv4_address{in.getAddress()}, in.getPort()}, in.getVoter()};
}

void write(schema::Group::Builder out, const group_record& group)
{
  auto members = out.initMembers(static_cast<unsigned>(group.members.size()));
  for (unsigned i = 0; i < members.size(); ++i)
    write(members[i], group.members[i]);
  auto removed = out.initRemoved(static_cast<unsigned>(group.removed.size()));
  for (unsigned i = 0; i < removed.size(); ++i)
    removed.set(i, group.removed[i].value);
}

group_record read(schema::Group::Reader in)
{
  group_record group;
  for (const auto member : in.getMembers())
    group.members.push_back(read(member));
  for (const auto id : in.getRemoved())
    group.removed.push_back(replica_id{id});
  return group;
}

void write(schema::HardState::Builder out, const hard_state& state)
{
  out.setTerm(state.term);
  out.setVotedFor(state.voted_for.value);
  out.setMayVote(state.may_vote);
}

hard_state read(schema::HardState::Reader in)
{
  return {in.getTerm(), replica_id{in.getVotedFor()}, in.getMayVote()};
}

error malformed(const char* what, const std::string& reason)
{
  return error{error_code::corrupt_data,
               std::string("malformed ") + what + ": " + reason};
}

std::string serialise(capnp::MessageBuilder& builder)
{
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Decodes a message. Cap'n Proto reports malformed input with exceptions, which
// are converted to errors here.
template <class Root, class Value, class Decode>
result<Value> parse(const char* what, std::string_view bytes, Decode decode)
{
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    return malformed(what, "length " + std::to_string(bytes.size()) +
                               " is not a positive multiple of 8 bytes");
  try
  {
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 2 * words.size() + 1024;
    capnp::FlatArrayMessageReader reader(words, options);
    std::optional<Value> value = decode(reader.getRoot<Root>());
    if (value)
      return std::move(*value);
    return malformed(what, "unknown kind");
  }
  catch (const kj::Exception& failure)
  {
    return malformed(what, failure.getDescription().cStr());
  }
  catch (const std::exception& failure)
  {
    return malformed(what, failure.what());
  }
}

std::optional<replica_message> read(schema::Message::Reader in)
{
  if (in.getKind() > static_cast<std::uint8_t>(message_kind::timeout_now))
    return std::nullopt;
  replica_message message;
  message.kind = static_cast<message_kind>(in.getKind());
  message.from = read(in.getSender());
  message.to = replica_id{in.getReceiver()};
  message.term = in.getTerm();
  message.position = read(in.getPosition());
  message.commit = in.getCommit();
  message.index = in.getIndex();
  message.round = in.getRound();
  message.size = in.getSize();
  message.granted = in.getGranted();
  for (const auto entry : in.getEntries())
  {
    auto decoded = read(entry);
    if (!decoded)
      return std::nullopt;
    message.entries.push_back(std::move(*decoded));
  }
  message.group = read(in.getGroup());
  message.data = copy_bytes(in.getData());
  message.may_vote = in.getMayVote();
  message.pristine = in.getPristine();
  message.in_memory = in.getInMemory();
  message.formats =
      stated_support(in.getOldestFormat(), in.getNewestFormat(), in.getBuild());
  return message;
}

std::optional<wal_record> read(schema::Record::Reader in)
{
  switch (in.which())
  {
  case schema::Record::START:
    return segment_start{replica_id{in.getStart()}};
  case schema::Record::HARD_STATE:
    return read(in.getHardState());
  case schema::Record::ENTRY:
    if (auto entry = read(in.getEntry()))
      return std::move(*entry);
    return std::nullopt;
  case schema::Record::RESET:
    return log_reset{read(in.getReset())};
  }
  return std::nullopt;
}

} // namespace

std::string encode(const replica_message& message)
{
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::Message>();
  out.setKind(static_cast<std::uint8_t>(message.kind));
  write(out.initSender(), message.from);
  out.setReceiver(message.to.value);
  out.setTerm(message.term);
  write(out.initPosition(), message.position);
  out.setCommit(message.commit);
  out.setIndex(message.index);
  out.setRound(message.round);
  out.setSize(message.size);
  out.setGranted(message.granted);
  auto entries = out.initEntries(static_cast<unsigned>(message.entries.size()));
  for (unsigned i = 0; i < entries.size(); ++i)
    write(entries[i], message.entries[i]);
  write(out.initGroup(), message.group);
  out.setData(as_byte_array(message.data));
  out.setMayVote(message.may_vote);
  out.setPristine(message.pristine);
  out.setInMemory(message.in_memory);
  // A build that reads the first format alone states nothing, as earlier ones.
  if (message.formats != format_support{})
  {
    out.setOldestFormat(message.formats.oldest);
    out.setNewestFormat(message.formats.newest);
    out.setBuild(message.formats.build);
  }
  return serialise(builder);
}

std::string encode(const group_record& group)
{
  capnp::MallocMessageBuilder builder;
  write(builder.initRoot<schema::Group>(), group);
  return serialise(builder);
}

std::string encode(const wal_record& record)
{
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::Record>();
  if (const auto* start = std::get_if<segment_start>(&record))
    out.setStart(start->replica.value);
  else if (const auto* state = std::get_if<hard_state>(&record))
    write(out.initHardState(), *state);
  else if (const auto* entry = std::get_if<log_entry>(&record))
    write(out.initEntry(), *entry);
  else
    write(out.initReset(), std::get<log_reset>(record).position);
  return serialise(builder);
}

std::string encode(const snapshot_header& header)
{
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<schema::SnapshotHeader>();
  write(out.initPosition(), header.meta.position);
  write(out.initGroup(), header.meta.group);
  out.setSize(header.meta.size);
  out.setChecksum(header.checksum);
  return serialise(builder);
}

result<replica_message> decode_message(std::string_view bytes)
{
  return parse<schema::Message, replica_message>("replication message", bytes,
                                                 [](schema::Message::Reader in)
                                                 {
                                                   return read(in);
                                                 });
}

result<group_record> decode_group(std::string_view bytes)
{
  return parse<schema::Group, group_record>("group record", bytes,
                                            [](schema::Group::Reader in)
                                            {
                                              return std::make_optional(
                                                  read(in));
                                            });
}

result<wal_record> decode_record(std::string_view bytes)
{
  return parse<schema::Record, wal_record>("log record", bytes,
                                           [](schema::Record::Reader in)
                                           {
                                             return read(in);
                                           });
}

result<snapshot_header> decode_snapshot_header(std::string_view bytes)
{
  return parse<schema::SnapshotHeader, snapshot_header>(
      "snapshot header", bytes,
      [](schema::SnapshotHeader::Reader in)
      {
        return std::make_optional(snapshot_header{
            {read(in.getPosition()), read(in.getGroup()), in.getSize()},
            in.getChecksum()});
      });
}

} // namespace toucanmill::log_detail
