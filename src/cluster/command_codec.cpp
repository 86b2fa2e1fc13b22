#include <toucanmill/cluster/command.hpp>

#include <algorithm>
#include <limits>

#include <capnp/message.h>
#include <state.capnp.h>

#include <toucanmill/cluster/wire.hpp>

#include "message.hpp"
#include "text.hpp"

namespace toucanmill
{

namespace
{

using detail::copy_data;
using detail::copy_text;
using detail::data_reader;

struct command_writer
{
  schema::Command::Builder to;

  void operator()(const operator_request& value)
  {
    auto request = to.initOperatorRequest();
    wire::write(request.initChange(), value);
    request.setWallClock(value.wall_clock);
  }
  void operator()(const register_node& value)
  {
    wire::write(to.initRegisterNode(), value.identity);
  }
  void operator()(const set_node_state& value)
  {
    auto set = to.initSetNodeState();
    set.setNode(value.node.value);
    set.setLife(value.life.value);
    set.setState(wire::to_schema(value.state));
  }
  void operator()(const release_buckets& value)
  {
    auto release = to.initReleaseBuckets();
    release.setNode(value.node.value);
    release.setLife(value.life.value);
    release.setAtIndex(value.at_index);
    release.setBuckets(
        kj::arrayPtr(value.buckets.data(), value.buckets.size()));
  }
  void operator()(const rebalance& value)
  {
    auto out = to.initRebalance();
    out.setService(value.service);
    auto weights = out.initWeights(static_cast<unsigned>(value.weights.size()));
    for (unsigned i = 0; i < weights.size(); ++i)
    {
      weights[i].setNode(value.weights[i].node.value);
      weights[i].setPerMille(value.weights[i].per_mille);
    }
    out.setIdle(kj::arrayPtr(value.idle.data(), value.idle.size()));
  }
  void operator()(const claim_request& value)
  {
    auto request = to.initClaimRequest();
    wire::write(request.initClaim(), value);
    request.setWallClock(value.wall_clock);
  }
  void operator()(const claim_completion& value)
  {
    auto completion = to.initClaimCompletion();
    completion.setService(value.key.service.value);
    completion.setKey(data_reader(value.key.key));
    completion.setClaim(value.claim.value);
    completion.setAnswer(data_reader(value.answer));
  }
  void operator()(const claim_release& value)
  {
    auto release = to.initClaimRelease();
    release.setService(value.key.service.value);
    release.setKey(data_reader(value.key.key));
    release.setClaim(value.claim.value);
  }
  void operator()(const declare_configuration& value)
  {
    wire::write(to.initDeclareConfiguration(), value.value);
    // A lower index is true as well.
    constexpr auto highest = std::numeric_limits<std::uint32_t>::max();
    to.setSettledIndex(static_cast<std::uint32_t>(
        std::min<std::uint64_t>(value.settled_index, highest)));
  }
  void operator()(const set_evacuation& value)
  {
    auto set = to.initSetEvacuation();
    set.setDataCentre(value.data_centre);
    set.setEvacuated(value.evacuated);
    set.setWallClock(value.wall_clock);
  }
  void operator()(const raise_version& value)
  {
    to.setRaiseVersion(value.version);
  }
};

result<command> read_operator_request(schema::OperatorRequest::Reader from)
{
  BOOST_OUTCOME_TRY(request, wire::read(from.getChange()));
  request.wall_clock = from.getWallClock();
  return command{std::move(request)};
}

result<command> read_set_node_state(schema::SetNodeState::Reader from)
{
  BOOST_OUTCOME_TRY(state, wire::read(from.getState()));
  return command{set_node_state{node_id{from.getNode()},
                                incarnation{from.getLife()}, state}};
}

std::vector<std::uint16_t> read_buckets(capnp::List<std::uint16_t>::Reader from)
{
  std::vector<std::uint16_t> buckets;
  buckets.reserve(from.size());
  for (const auto bucket : from)
    buckets.push_back(bucket);
  return buckets;
}

command read_release_buckets(schema::ReleaseBuckets::Reader from)
{
  return release_buckets{node_id{from.getNode()}, incarnation{from.getLife()},
                         from.getAtIndex(), read_buckets(from.getBuckets())};
}

command read_rebalance(schema::Rebalance::Reader from)
{
  rebalance value;
  value.service = copy_text(from.getService());
  for (const auto item : from.getWeights())
    value.weights.push_back({node_id{item.getNode()}, item.getPerMille()});
  value.idle = read_buckets(from.getIdle());
  return value;
}

result<command> read_claim_request(schema::ClaimRequest::Reader from)
{
  BOOST_OUTCOME_TRY(claim, wire::read(from.getClaim()));
  claim.wall_clock = from.getWallClock();
  return command{std::move(claim)};
}

template <class Reader>
claim_key read_claim_key(Reader from)
{
  return {service_id{from.getService()}, copy_data(from.getKey())};
}

result<command> read_command(schema::Command::Reader from)
{
  switch (from.which())
  {
  case schema::Command::OPERATOR_REQUEST:
    return read_operator_request(from.getOperatorRequest());
  case schema::Command::REGISTER_NODE:
  {
    BOOST_OUTCOME_TRY(identity, wire::read(from.getRegisterNode()));
    return command{register_node{std::move(identity)}};
  }
  case schema::Command::SET_NODE_STATE:
    return read_set_node_state(from.getSetNodeState());
  case schema::Command::RELEASE_BUCKETS:
    return read_release_buckets(from.getReleaseBuckets());
  case schema::Command::REBALANCE:
    return read_rebalance(from.getRebalance());
  case schema::Command::CLAIM_REQUEST:
    return read_claim_request(from.getClaimRequest());
  case schema::Command::CLAIM_COMPLETION:
  {
    const auto completion = from.getClaimCompletion();
    return command{claim_completion{read_claim_key(completion),
                                    claim_id{completion.getClaim()},
                                    copy_data(completion.getAnswer())}};
  }
  case schema::Command::CLAIM_RELEASE:
  {
    const auto release = from.getClaimRelease();
    return command{
        claim_release{read_claim_key(release), claim_id{release.getClaim()}}};
  }
  case schema::Command::DECLARE_CONFIGURATION:
    return command{declare_configuration{
        wire::read(from.getDeclareConfiguration()), from.getSettledIndex()}};
  case schema::Command::SET_EVACUATION:
  {
    const auto set = from.getSetEvacuation();
    return command{set_evacuation{copy_text(set.getDataCentre()),
                                  set.getEvacuated(), set.getWallClock()}};
  }
  case schema::Command::RAISE_VERSION:
    return command{raise_version{from.getRaiseVersion()}};
  }
  return error{error_code::corrupt_data, "unknown command type"};
}

struct outcome_writer
{
  schema::CommandOutcome::Builder to;

  void operator()(const no_outcome&)
  {
    to.setNone();
  }
  void operator()(const change_outcome& value)
  {
    wire::write(to.initChange(), value);
  }
  void operator()(const claim_outcome& value)
  {
    auto claim = to.initClaim();
    claim.setVerdict(wire::to_schema(value.verdict));
    claim.setAnswer(data_reader(value.answer));
  }
};

result<command_outcome> read_outcome(schema::CommandOutcome::Reader from)
{
  switch (from.which())
  {
  case schema::CommandOutcome::NONE:
    return command_outcome{no_outcome{}};
  case schema::CommandOutcome::CHANGE:
  {
    BOOST_OUTCOME_TRY(change, wire::read(from.getChange()));
    return command_outcome{std::move(change)};
  }
  case schema::CommandOutcome::CLAIM:
  {
    const auto claim = from.getClaim();
    BOOST_OUTCOME_TRY(verdict, wire::read(claim.getVerdict()));
    return command_outcome{
        claim_outcome{verdict, copy_data(claim.getAnswer())}};
  }
  }
  return error{error_code::corrupt_data, "unknown command outcome type"};
}

} // namespace

std::string encode(const command& value)
{
  capnp::MallocMessageBuilder message;
  std::visit(command_writer{message.initRoot<schema::Command>()}, value);
  return detail::serialize(message);
}

result<command> decode_command(const std::string& bytes)
{
  return detail::deserialize<schema::Command, command>(bytes, read_command);
}

std::string encode(const command_outcome& value)
{
  capnp::MallocMessageBuilder message;
  std::visit(outcome_writer{message.initRoot<schema::CommandOutcome>()}, value);
  return detail::serialize(message);
}

result<command_outcome> decode_command_outcome(const std::string& bytes)
{
  return detail::deserialize<schema::CommandOutcome, command_outcome>(
      bytes, read_outcome);
}

} // namespace toucanmill
