#ifndef TOUCANMILL_CLUSTER_COMMAND_HPP
#define TOUCANMILL_CLUSTER_COMMAND_HPP

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/table/configuration.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

// Operators' changes.
struct create_service
{
  std::string name;
  endpoint address;
  service_kind kind = service_kind::stream;
  std::uint32_t buckets = 256; ///< power of two, 16 to 4096
};
struct change_service
{
  std::string name;
  endpoint address; ///< new public address
};
struct delete_service
{
  std::string name;
};
struct drain_node
{
  std::string node;
}; ///< upstream's agent
struct restore_node
{
  std::string node;
}; ///< ends a drain
struct retire_node
{
  std::string node;
}; ///< balancer

using operator_change =
    std::variant<create_service, change_service, delete_service, drain_node,
                 restore_node, retire_node>;

/// An operator's change with what makes it safe to resend and to race.
struct operator_request
{
  std::string request_id;       ///< 1 to 128 octets, chosen by the operator
  std::uint64_t if_version = 0; ///< configuration version it was based on
  operator_change change;
  std::uint64_t wall_clock = 0; ///< seconds, set by the leader; for retention
};

/// A whole configuration; takes effect if its version is the highest.
struct declare_configuration
{
  configuration value;
};

// Changes that the leader itself proposes.
struct register_node
{
  node_identity identity;
};
struct set_node_state
{
  node_id node;
  incarnation life;
  node_state state;
};
struct release_buckets ///< the holder reported that it holds no flows in them
{
  node_id node;
  incarnation life;
  std::uint64_t at_index = 0; ///< table index that the holder acted on
  std::vector<std::uint16_t> buckets;
};
struct rebalance ///< one bounded step; weights in parts per thousand
{
  struct weight
  {
    node_id node;
    std::uint32_t per_mille = 1000;
  };
  std::string service;
  std::vector<weight> weights;
  std::vector<std::uint16_t> idle; ///< buckets whose owner reported no flows
};

// Claims of requests that must run at most once.
struct claim_key
{
  service_id service;
  std::string key; ///< 1 to 256 octets
};
struct claim_request
{
  claim_key key;
  claim_id claim; ///< unique for each attempt; resending it is idempotent
  std::array<std::uint8_t, 16> digest{};
  std::uint64_t wall_clock = 0; ///< seconds, set by the leader
};
struct claim_completion
{
  claim_key key;
  claim_id claim;
  std::string answer; ///< empty: it ran, but its answer was not stored
};
struct claim_release
{
  claim_key key;
  claim_id claim;
};

using command =
    std::variant<operator_request, register_node, set_node_state,
                 release_buckets, rebalance, claim_request, claim_completion,
                 claim_release, declare_configuration>;

/// Outcome of an operator's change.
struct change_outcome
{
  bool accepted = false;
  error_code reason = error_code::invalid_argument; ///< when refused
  std::string message;                              ///< when refused
  std::uint64_t version = 0; ///< configuration version afterwards
  std::uint64_t index = 0;   ///< log index of the change, for wait
};

enum class claim_verdict : std::uint8_t
{
  granted,
  completed,
  in_progress,
  different_request,
  limit_reached, ///< the store of claims is full; nothing was claimed
};

struct claim_outcome
{
  claim_verdict verdict = claim_verdict::in_progress;
  std::string answer; ///< when completed
};

struct no_outcome
{
};

using command_outcome = std::variant<no_outcome, change_outcome, claim_outcome>;

/// Codecs (Cap'n Proto, schema/state.capnp). Decoding errors: corrupt_data.
std::string encode(const command& value);
result<command> decode_command(const std::string& bytes);
std::string encode(const command_outcome& value);
result<command_outcome> decode_command_outcome(const std::string& bytes);

} // namespace toucanmill

#endif
