#ifndef TOUCANMILL_SRC_CONTROL_CONTROL_SERVICE_HPP
#define TOUCANMILL_SRC_CONTROL_CONTROL_SERVICE_HPP

#include <atomic>
#include <functional>

#include <kj/async.h>
#include <toucanmill.capnp.h>

#include <toucanmill/control/control_state.hpp>
#include <toucanmill/control/group_core.hpp>
#include <toucanmill/log/replicated_log.hpp>

#include "flow_archive.hpp"

namespace toucanmill::detail
{

struct service_counters
{
  std::atomic<std::uint64_t> reports{0};
  std::atomic<std::uint64_t> changes{0};
  std::atomic<std::uint64_t> claims{0};
  std::atomic<std::uint64_t> not_leader{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> flow_lists{0};
  std::atomic<std::uint64_t> refused_builds{0};
};

/// RPC interface of a control instance. Calls arrive on the kj thread; the
/// state is accessed only on the log's thread.
class control_service final : public schema::Control::Server
{
public:
  using invitation_callback = std::function<void(std::vector<endpoint>)>;

  /// `flows` keeps the lists of agents.
  /// `on_invited` is called on the kj thread with the group members named in an
  /// invitation.
  control_service(replicated_log& log, control_state& state,
                  service_counters& counters, flow_archive& flows,
                  invitation_callback on_invited);

protected:
  kj::Promise<void> change(ChangeContext context) override;
  kj::Promise<void> status(StatusContext context) override;
  kj::Promise<void> services(ServicesContext context) override;
  kj::Promise<void> inForce(InForceContext context) override;
  kj::Promise<void> report(ReportContext context) override;
  kj::Promise<void> claim(ClaimContext context) override;
  kj::Promise<void> complete(CompleteContext context) override;
  kj::Promise<void> release(ReleaseContext context) override;
  kj::Promise<void> step(StepContext context) override;
  kj::Promise<void> changeGroup(ChangeGroupContext context) override;
  kj::Promise<void> declare(DeclareContext context) override;
  kj::Promise<void> declared(DeclaredContext context) override;
  kj::Promise<void> evacuations(EvacuationsContext context) override;
  kj::Promise<void> join(JoinContext context) override;
  kj::Promise<void> leave(LeaveContext context) override;
  kj::Promise<void> invite(InviteContext context) override;
  kj::Promise<void> keepFlows(KeepFlowsContext context) override;
  kj::Promise<void> keptFlows(KeptFlowsContext context) override;

private:
  /// Reply to a call that only the leader can answer.
  template <class T>
  struct answer
  {
    result<T> value;
    endpoint hint; ///< leader's RPC endpoint if the error is not_leader
  };

  /// Runs read(now) on the log's thread after a quorum has confirmed that this
  /// instance leads.
  template <class T, class Read>
  kj::Promise<answer<T>> read_as_leader(Read read);

  kj::Promise<answer<command_outcome>> propose(const command& value);

  template <class Context>
  kj::Promise<void> commit(Context context, const command& value);

  template <class Context>
  kj::Promise<void> answer_change(Context context, const command& value);

  template <class T>
  T require_valid(result<T> parsed);

  template <class Results, class T>
  bool handle_failure(Results& results, const answer<T>& reply);

  /// Performs the next step of a join; runs on the log's thread.
  void advance_join(const join_request& joining,
                    std::function<void(replica_standing)> done);

  replicated_log& log_;
  control_state& state_;
  service_counters& counters_;
  flow_archive& flows_;
  invitation_callback on_invited_;
};

} // namespace toucanmill::detail

#endif
