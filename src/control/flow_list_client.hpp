#ifndef TOUCANMILL_SRC_CONTROL_FLOW_LIST_CLIENT_HPP
#define TOUCANMILL_SRC_CONTROL_FLOW_LIST_CLIENT_HPP

#include <memory>
#include <string>
#include <vector>

#include <kj/async-io.h>

#include <toucanmill/control/control_channel.hpp>
#include <toucanmill/control/node_client.hpp>

namespace toucanmill::detail
{

/// The control instances in the order in which a node asks them to keep its
/// flows. It depends on the node and the instances only, so that the node finds
/// its list again after a restart.
std::vector<endpoint> order_keepers(std::vector<endpoint> instances,
                                    node_id node);

/// Keeps the list of an agent's open flows at a control instance: asks for it
/// once after the start, and then stores each new one. Must be used on the RPC
/// thread.
class flow_list_client : private kj::TaskSet::ErrorHandler
{
public:
  flow_list_client(kj::AsyncIoContext& io, const node_callbacks& callbacks);

  /// Must be called before on_answer().
  void set_instances(std::vector<endpoint> instances, node_id node);

  /// A control leader has answered a report of the node.
  void on_answer();

private:
  enum class phase
  {
    starting,
    fetching,
    idle,
    storing,
  };

  /// Asks the instances from this one on until one has a list.
  kj::Promise<void> fetch(std::size_t instance);
  void end_fetch(std::string list);
  kj::Promise<void> store(const std::string& list);
  /// The selected instance has not kept the list.
  void on_not_kept();
  void select(std::size_t instance);
  void taskFailed(kj::Exception&& failure) override;

  kj::AsyncIoContext& io_;
  const node_callbacks& callbacks_;
  node_id node_;
  std::vector<endpoint> instances_;
  std::unique_ptr<control_channel> channel_;
  std::size_t selected_ = 0; ///< in instances_
  std::size_t refusals_ = 0; ///< since an instance kept a list
  time_point next_store_;
  phase phase_ = phase::starting;
  std::string unstored_; ///< a list that no instance has kept yet
  kj::TaskSet tasks_;
};

} // namespace toucanmill::detail

#endif
