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

/// Callbacks that a balancer or agent supplies to its node_client. All are
/// called on the client's thread.
struct node_callbacks
{
  /// Returns the report to send.
  std::function<node_report()> make_report;

  /// Receives a newer table, or the part of it that this node needs.
  std::function<void(const table_update&)> on_update;

  /// A quorum confirmed that the table of this node was current at some time
  /// after `sent_at`, when the report was sent.
  std::function<void(time_point sent_at)> on_confirmed;

  std::function<void(node_order)> on_order;

  /// Called with false when no control leader has answered for the lease time,
  /// and with true when one answers again.
  std::function<void(bool)> on_reachable;

  /// Receives the latest incarnation of this node known to control. May be
  /// empty.
  std::function<void(incarnation)> on_known_life;

  /// Returns the encoded flow_list to keep at control; empty: none is due.
  /// Called after answered reports, once on_kept_flows has been called. Without
  /// it the client keeps no flows.
  std::function<std::string()> make_flow_list;

  /// Control keeps the list of the latest call of make_flow_list. May be empty.
  std::function<void()> on_flow_list_kept;

  /// Receives the list that control has kept for this node, once after the
  /// start; empty: none. May be empty.
  std::function<void(std::string)> on_kept_flows;
};

struct node_client_options
{
  std::vector<endpoint> control;
  duration report_interval = std::chrono::milliseconds(500);
  /// Delay after a report that no leader answered.
  duration retry_interval = std::chrono::milliseconds(100);
  /// Shorter delay used for fast_retry_period after the start or the last
  /// answer.
  duration fast_retry_interval = std::chrono::milliseconds(40);
  duration fast_retry_period = std::chrono::seconds(2);
  duration claim_timeout = std::chrono::seconds(3); ///< then `unavailable`
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

/// Reports periodically to the control leader, passes its replies to the
/// callbacks and sends claims to it. Runs its own thread.
class node_client
{
public:
  using claim_callback = std::function<void(result<claim_outcome>)>;
  using done_callback = std::function<void(result<void>)>;

  static std::unique_ptr<node_client> start(node_client_options options,
                                            node_callbacks callbacks);
  virtual ~node_client() = default;

  /// Retries the claim with the same id until control decides or claim_timeout
  /// expires. Error: unavailable; the claim may have been granted.
  virtual void claim(claim_request request, claim_callback done) = 0;

  /// Error: unavailable; the answer may not have been stored.
  virtual void complete(claim_completion completion, done_callback done) = 0;

  /// Error: unavailable; the claim may still be held.
  virtual void release(claim_release release, done_callback done) = 0;

  /// Sends a report immediately, or right after the current one if that is
  /// still in flight.
  virtual void report_now() = 0;

  /// Sets the control instances to try in addition to those named in replies.
  virtual void set_control(std::vector<endpoint> endpoints) = 0;

  virtual node_client_counters counters() const = 0;
};

} // namespace toucanmill

#endif
