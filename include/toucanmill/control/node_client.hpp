#ifndef TOUCANMILL_CONTROL_NODE_CLIENT_HPP
#define TOUCANMILL_CONTROL_NODE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <toucanmill/base/address.hpp>
#include <toucanmill/base/time.hpp>
#include <toucanmill/cluster/command.hpp>
#include <toucanmill/cluster/node.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill
{

/// What a balancer or agent supplies to its control client. All functions are
/// called on the client's thread.
struct node_callbacks
{
  /// The present report.
  std::function<node_report()> make_report;

  /// A newer table, or the part of it that this node needs.
  std::function<void(const table_update&)> on_update;

  /// A quorum confirmed that the table of this node is current, at some time
  /// after the report was sent.
  std::function<void(time_point asked)> on_confirmed;

  std::function<void(node_order)> on_order;

  /// False after no control instance answered for the lease time.
  std::function<void(bool)> on_reachable;

  /// Latest life of this node that control knows. May be empty.
  std::function<void(incarnation)> on_known_life;
};

struct node_client_options
{
  std::vector<endpoint> control;
  duration report_interval = std::chrono::milliseconds(500);
  /// After a report without an answer of a leader.
  duration retry_interval = std::chrono::milliseconds(100);
  /// The same within this time after the start or the last answer.
  duration eager_interval = std::chrono::milliseconds(40);
  duration eager_time = std::chrono::seconds(2);
  duration claim_limit = std::chrono::seconds(3); ///< then unavailable
};

/// Counters of a node client, safe to read from any thread.
struct node_client_counters
{
  std::uint64_t reports = 0;
  std::uint64_t failed_reports = 0;
  std::uint64_t octets_sent = 0;     ///< reports as encoded, without framing
  std::uint64_t octets_received = 0; ///< replies as encoded, without framing
  std::uint64_t failed_claims = 0;
};

/// Reports to the control leader every interval and passes on what it answers;
/// carries claims to it. A thread of its own.
class node_client
{
public:
  using claim_callback = std::function<void(result<claim_outcome>)>;
  using done_callback = std::function<void(result<void>)>;

  static std::unique_ptr<node_client> start(node_client_options options,
                                            node_callbacks callbacks);
  virtual ~node_client() = default;

  /// Repeats the claim with the same id until control decides or the claim
  /// limit passes. Error: unavailable, the claim may stand.
  virtual void claim(claim_request request, claim_callback done) = 0;

  /// Error: unavailable, the answer may not be stored.
  virtual void complete(claim_completion completion, done_callback done) = 0;

  /// Error: unavailable, the claim may still stand.
  virtual void release(claim_release release, done_callback done) = 0;

  /// Sends a report now, ahead of the interval; after the present one if that
  /// still waits for its answer.
  virtual void report_now() = 0;

  /// Control instances to try besides those that replies named.
  virtual void set_control(std::vector<endpoint> endpoints) = 0;

  virtual node_client_counters counters() const = 0;
};

} // namespace toucanmill

#endif
