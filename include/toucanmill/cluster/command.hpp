#ifndef TOUCANMILL_CLUSTER_COMMAND_HPP
#define TOUCANMILL_CLUSTER_COMMAND_HPP

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <toucanmill/base/format_version.hpp>
#include <toucanmill/base/ids.hpp>
#include <toucanmill/base/outcome.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/table/configuration.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

// Changes requested by operators.
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
  std::string node; ///< name of an agent
};
/// Cancels a drain or a retirement.
struct restore_node
{
  std::string node;
};
struct retire_node
{
  std::string node; ///< name of a balancer
};
/// New flows are no longer placed in this data centre.
struct evacuate_data_centre
{
  std::string data_centre;
};
struct restore_data_centre
{
  std::string data_centre;
};

using operator_change =
    std::variant<create_service, change_service, delete_service, drain_node,
                 restore_node, retire_node, evacuate_data_centre,
                 restore_data_centre>;

/// An operator's change. The request id makes resending it idempotent. The
/// change is refused unless if_version is the present value of
/// state_machine::configuration_version(), which detects concurrent changes.
struct operator_request
{
  std::string request_id; ///< 1 to 128 octets, chosen by the operator
  std::uint64_t if_version = 0;
  operator_change change;

  /// Seconds, set by the leader; advances the clock by which claims and stored
  /// outcomes expire.
  std::uint64_t wall_clock = 0;
};

/// Replaces the declared configuration if its version is the highest so far.
struct declare_configuration
{
  configuration value;
  /// Flows that agents accepted by tables before this log index have ended; 0:
  /// not known.
  std::uint64_t settled_index = 0;
};

/// Evacuates or restores a data centre. It has no request id: a copy that is
/// appended after the opposite order counts as a new order.
struct set_evacuation
{
  std::string data_centre;
  bool evacuated = true;
  std::uint64_t wall_clock = 0; ///< as in operator_request
};

// Changes proposed by the leader itself.
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
/// Removes a node from the chains of buckets that it no longer owns and in
/// which it reported no flows.
struct release_buckets
{
  node_id node;
  incarnation life;
  std::uint64_t at_index = 0; ///< table index that the node had applied
  std::vector<std::uint16_t> buckets;
};
/// One rebalancing step with a bounded number of moves.
struct rebalance
{
  struct weight
  {
    node_id node;
    std::uint32_t per_mille = 1000; ///< parts per thousand
  };
  std::string service;
  std::vector<weight> weights;
  std::vector<std::uint16_t> idle; ///< owner reported no flows in them
};

/// Puts a format version in force; a lower one than the present changes
/// nothing.
struct raise_version
{
  format_version version = first_format_version;
};

// Claims ensure that a request with an idempotency key runs at most once: an
// agent claims the key before it passes the request to the upstream.

/// Idempotency key of a request within its service.
struct claim_key
{
  service_id service;
  std::string key; ///< 1 to 256 octets
};
/// Reserves a key for one attempt to run its request.
struct claim_request
{
  claim_key key;
  claim_id claim; ///< unique for each attempt; resending it is idempotent
  std::array<std::uint8_t, 16> digest{}; ///< hash of the request
  std::uint64_t wall_clock = 0;          ///< as in operator_request
};
/// Records that the claimed request ran, and its answer.
struct claim_completion
{
  claim_key key;
  claim_id claim;
  std::string answer; ///< empty: the request ran, but its answer was not stored
};
/// Gives up a claim so that the request may be attempted again.
struct claim_release
{
  claim_key key;
  claim_id claim;
};

using command =
    std::variant<operator_request, register_node, set_node_state,
                 release_buckets, rebalance, claim_request, claim_completion,
                 claim_release, declare_configuration, set_evacuation,
                 raise_version>;

/// Result of an operator's change, a declaration or an evacuation order.
struct change_outcome
{
  bool accepted = false;
  error_code reason = error_code::invalid_argument; ///< when refused
  std::string message;                              ///< when refused

  /// Version afterwards: state_machine::configuration_version(), or for a
  /// declaration the version of the declared configuration.
  std::uint64_t version = 0;
  std::uint64_t index = 0; ///< log index of the change, to wait for
};

enum class claim_verdict : std::uint8_t
{
  granted,
  completed,
  in_progress,
  different_request,
  limit_reached, ///< the claim store is full; nothing was claimed
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

/// Cap'n Proto serialization (schema/state.capnp). Decoding errors:
/// corrupt_data.
std::string encode(const command& value);
result<command> decode_command(const std::string& bytes);
std::string encode(const command_outcome& value);
result<command_outcome> decode_command_outcome(const std::string& bytes);

} // namespace toucanmill

#endif
