#ifndef TOUCANMILL_CONTROL_OPERATOR_CLIENT_HPP
#define TOUCANMILL_CONTROL_OPERATOR_CLIENT_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <toucanmill/base/outcome.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/cluster/command.hpp>
#include <toucanmill/cluster/membership_core.hpp>
#include <toucanmill/cluster/state_machine.hpp>
#include <toucanmill/log/types.hpp>

namespace toucanmill
{

struct service_list
{
  std::vector<service_table> services;
  std::uint64_t version = 0; ///< configuration version
};

struct evacuation_list
{
  std::vector<evacuation> evacuations; ///< ordered by name
};

struct in_force_state
{
  bool in_force = false;
  std::vector<std::string> waiting; ///< names of nodes that use older tables
};

struct node_overview
{
  node_record record;
  node_liveness live;
};

/// State of the system as one control instance sees it.
struct system_status
{
  replica_id self;
  replica_id leader; ///< 0: none known
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t last_index = 0;
  std::uint64_t snapshot_index = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t claims = 0;
  format_version format = first_format_version; ///< in force
  std::vector<std::string> held_back_by; ///< do not read the newest version
  std::string halted; ///< why the instance takes no part; empty: it does
  std::vector<replica_address> group;
  std::vector<format_support> formats; ///< of the group's members
  std::vector<node_overview> nodes;
};

/// Blocking client of the operator RPC. Each call locates the leader and is
/// retried until the timeout; a change keeps its request id, which makes
/// retries idempotent. Calls fail with `unavailable` on timeout.
class operator_client
{
public:
  static std::unique_ptr<operator_client> connect(std::vector<endpoint> control,
                                                  duration timeout);
  virtual ~operator_client() = default;

  /// A refused change is a value with accepted == false.
  virtual result<change_outcome> change(const operator_request& request) = 0;
  virtual result<service_list> services() = 0;

  /// Whether every live node has applied the change at this log index.
  virtual result<in_force_state> in_force(std::uint64_t index) = 0;

  /// Declares a configuration, which takes effect if its version is the highest
  /// so far. A refused one is a value with accepted == false.
  virtual result<change_outcome> declare(const configuration& value) = 0;

  /// The declared configuration, confirmed by a quorum; version 0: none.
  virtual result<configuration> declared() = 0;

  /// The evacuated data centres, confirmed by a quorum.
  virtual result<evacuation_list> evacuations() = 0;

  /// Status of the leader. On timeout: of the instance asked last, if it
  /// answered.
  virtual result<system_status> status() = 0;

  /// Replaces the group; the new one may differ from it by one instance.
  virtual result<void>
  change_group(const std::vector<replica_address>& group) = 0;
};

} // namespace toucanmill

#endif
