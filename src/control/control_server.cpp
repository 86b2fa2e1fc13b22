#include <toucanmill/control/control_server.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include <capnp/rpc-twoparty.h>

#include <toucanmill/base/socket_address.hpp>
#include <toucanmill/control/rpc_loop.hpp>

#include "configuration_store.hpp"
#include "control_service.hpp"
#include "evacuation_orders.hpp"
#include "flow_archive.hpp"
#include "group_joiner.hpp"
#include "peer_links.hpp"

namespace toucanmill
{

namespace
{

/// Timeout of waiting for the log's thread or the RPC thread.
constexpr auto thread_timeout = std::chrono::seconds(5);

/// A leader that can't transfer its leadership in this time stops anyway.
constexpr auto transfer_timeout = std::chrono::seconds(1);

/// Value that one thread sets and another waits for, up to thread_timeout.
template <class T>
class waitable_value
{
public:
  void set(T value)
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    value_ = std::move(value);
    ready_.notify_all();
  }

  std::optional<T> wait()
  {
    std::unique_lock<std::mutex> lock(mutex_);
    ready_.wait_for(lock, thread_timeout,
                    [this]
                    {
                      return value_.has_value();
                    });
    return value_;
  }

private:
  std::mutex mutex_;
  std::condition_variable ready_;
  std::optional<T> value_;
};

/// Objects owned and used by the RPC thread.
struct rpc_thread_state
{
  rpc_thread_state(kj::AsyncIoContext& io, const endpoint& listen,
                   kj::Own<schema::Control::Server> service,
                   std::atomic<std::uint64_t>& lost)
      : links(io, io.provider->getTimer(), lost), receiver(bind(io, listen)),
        server(kj::mv(service)),
        listening(server.listen(*receiver).eagerlyEvaluate(nullptr))
  {
  }

  static kj::Own<kj::ConnectionReceiver> bind(kj::AsyncIoContext& io,
                                              const endpoint& listen)
  {
    const auto raw = to_sockaddr(listen);
    return io.provider->getNetwork().getSockaddr(&raw, sizeof raw)->listen();
  }

  detail::peer_links links;
  kj::Own<detail::group_joiner> joiner; ///< null if `seeds` is empty
  kj::Own<kj::ConnectionReceiver> receiver;
  capnp::TwoPartyServer server;
  kj::Promise<void> listening;
};

class control_server_threads final : public control_server
{
public:
  explicit control_server_threads(control_server_options options)
      : options_(std::move(options)), seeds_(options_.seeds),
        state_(state_options())
  {
  }

  ~control_server_threads() override
  {
    stop();
  }

  result<void> open()
  {
    BOOST_OUTCOME_TRY(log, replicated_log::open(options_.log, state_));
    log_ = std::move(log);
    store_ = std::make_unique<detail::configuration_store>(*log_, state_);
    orders_ = std::make_unique<detail::evacuation_orders>(*log_, state_);
    flows_ =
        std::make_unique<detail::flow_archive>(detail::flow_archive::options{
            options_.log.folder, options_.on_flow_list_failure});
    log_->post(
        [this]
        {
          state_.attach(*log_);
        });
    return listen();
  }

  control_counters counters() const override
  {
    return {service_counters_.reports,
            service_counters_.changes,
            service_counters_.claims,
            service_counters_.not_leader,
            service_counters_.malformed,
            service_counters_.flow_lists,
            service_counters_.refused_builds,
            peer_messages_,
            peer_octets_,
            peer_messages_lost_};
  }

  replicated_log_status status() override
  {
    auto found = std::make_shared<waitable_value<replicated_log_status>>();
    log_->post(
        [this, found]
        {
          found->set(log_->status());
        });
    return found->wait().value_or(replicated_log_status{});
  }

  void declare(configuration value, declare_callback done) override
  {
    store_->declare(std::move(value), std::move(done));
  }

  void set_evacuation(std::string data_centre, bool evacuated,
                      declare_callback done) override
  {
    orders_->set(std::move(data_centre), evacuated, std::move(done));
  }

  void read_configuration(configuration_callback done) override
  {
    store_->read(std::move(done));
  }

  void use_seeds(std::vector<endpoint> seeds) override
  {
    if (options_.seeds.empty())
      return;
    log_->post(
        [this, seeds]
        {
          seeds_ = seeds;
        });
    rpc_.post(
        [this, seeds = std::move(seeds)](kj::AsyncIoContext&)
        {
          if (rpc_state_ != nullptr && rpc_state_->joiner.get() != nullptr)
            rpc_state_->joiner->use_seeds(seeds);
        });
  }

  void stop() override
  {
    if (log_ == nullptr || stopped_.exchange(true))
      return;
    transfer_leadership();
    leave_group();
    log_->stop();
    rpc_.stop();
    flows_.reset();
  }

private:
  void transfer_leadership()
  {
    log_->transfer_leadership();
    const auto limit = std::chrono::steady_clock::now() + transfer_timeout;
    while (status().leads && std::chrono::steady_clock::now() < limit)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }

  /// Leaves the group, so that an instance that does not return no longer
  /// counts towards the quorum.
  void leave_group()
  {
    if (options_.seeds.empty())
      return;
    auto left = std::make_shared<waitable_value<bool>>();
    const bool posted = rpc_.post(
        [this, left](kj::AsyncIoContext&)
        {
          if (rpc_state_ == nullptr || rpc_state_->joiner.get() == nullptr)
            return left->set(false);
          rpc_state_->joiner->leave(
              [left]
              {
                left->set(true);
              });
        });
    if (posted)
      left->wait();
  }

  control_state_options state_options()
  {
    control_state_options out;
    out.membership = options_.membership;
    out.versions = options_.versions;
    out.remove_silent_members = !options_.seeds.empty();
    out.persists_log = persists_log();
    out.group = options_.group;
    out.notify = options_.notify;
    out.data_centres = options_.data_centres;
    out.on_in_force = options_.on_in_force;
    out.on_members = [this](const std::vector<endpoint>& members,
                            const std::vector<endpoint>& reachable)
    {
      invite_missing(members, reachable);
    };
    out.on_joined = [this](bool joined)
    {
      set_joined(joined);
    };
    out.send = [this](const replica_address& to, std::string message)
    {
      send(to, std::move(message));
    };
    return out;
  }

  result<void> listen()
  {
    auto bound = std::make_shared<waitable_value<result<void>>>();
    rpc_.start(
        [this, bound](kj::AsyncIoContext& io)
        {
          return start_rpc(io, *bound);
        });
    return bound->wait().value_or(
        error{error_code::unavailable, "RPC thread did not start"});
  }

  kj::Own<void> start_rpc(kj::AsyncIoContext& io,
                          waitable_value<result<void>>& bound)
  {
    try
    {
      auto state = kj::heap<rpc_thread_state>(
          io, options_.listen.port != 0 ? options_.listen : options_.rpc,
          kj::heap<detail::control_service>(
              *log_, state_, service_counters_, *flows_,
              [this](const std::vector<endpoint>& members)
              {
                if (rpc_state_ != nullptr &&
                    rpc_state_->joiner.get() != nullptr)
                  rpc_state_->joiner->add_members(members);
              }),
          peer_messages_lost_);
      state->joiner = make_joiner(io);
      rpc_state_ = state.get();
      bound.set(outcome::success());
      return state;
    }
    catch (const kj::Exception& failure)
    {
      bound.set(error{error_code::io_failure,
                      "RPC endpoint " + to_string(options_.rpc) + ": " +
                          failure.getDescription().cStr()});
      return kj::Own<void>();
    }
  }

  kj::Own<detail::group_joiner> make_joiner(kj::AsyncIoContext& io)
  {
    if (options_.seeds.empty())
      return {};
    return kj::heap<detail::group_joiner>(
        io, options_.seeds,
        join_request{{options_.log.self, options_.rpc}, persists_log()},
        [this](replica_standing standing)
        {
          if (standing == replica_standing::removed && options_.on_removed)
            options_.on_removed();
        });
  }

  /// Invites unreachable seeds and members, which may have no other way to find
  /// the group: an instance without a disk forgets its group on restart, and
  /// the settings of all instances may name only such seeds.
  void invite_missing(const std::vector<endpoint>& members,
                      const std::vector<endpoint>& reachable)
  {
    std::set<endpoint> missing(members.begin(), members.end());
    missing.insert(seeds_.begin(), seeds_.end());
    missing.erase(options_.rpc);
    for (const auto& item : reachable)
      missing.erase(item);
    if (missing.empty())
      return;
    // An invited instance contacts the first member, so the leader goes first.
    auto ordered = members;
    std::partition(ordered.begin(), ordered.end(),
                   [this](const endpoint& member)
                   {
                     return member == options_.rpc;
                   });
    rpc_.post(
        [this, missing, members = std::move(ordered)](kj::AsyncIoContext&)
        {
          if (rpc_state_ != nullptr)
            for (const auto& seed : missing)
              rpc_state_->links.invite(seed, members);
        });
  }

  bool persists_log() const
  {
    return !options_.log.folder.empty();
  }

  /// Sends join requests while this instance has not joined a group.
  void set_joined(bool joined)
  {
    rpc_.post(
        [this, joined](kj::AsyncIoContext&)
        {
          if (rpc_state_ != nullptr && rpc_state_->joiner.get() != nullptr)
            rpc_state_->joiner->set_enabled(!joined);
        });
  }

  void send(const replica_address& to, std::string message)
  {
    ++peer_messages_;
    peer_octets_ += message.size();
    const bool queued = rpc_.post(
        [this, to, message = std::move(message)](kj::AsyncIoContext&)
        {
          if (rpc_state_ != nullptr)
            rpc_state_->links.send(to, message);
        });
    if (!queued)
      ++peer_messages_lost_;
  }

  const control_server_options options_;
  std::vector<endpoint> seeds_; ///< used on the log's thread only
  control_state state_;
  detail::service_counters service_counters_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> peer_messages_{0};
  std::atomic<std::uint64_t> peer_octets_{0};
  std::atomic<std::uint64_t> peer_messages_lost_{0};
  std::unique_ptr<replicated_log> log_;
  std::unique_ptr<detail::configuration_store> store_;
  std::unique_ptr<detail::evacuation_orders> orders_;
  std::unique_ptr<detail::flow_archive> flows_; ///< set before RPC starts
  rpc_thread_state* rpc_state_ = nullptr;       ///< used on the RPC thread only
  rpc_loop rpc_;
};

} // namespace

result<std::unique_ptr<control_server>>
control_server::start(control_server_options options)
{
  auto server = std::make_unique<control_server_threads>(std::move(options));
  BOOST_OUTCOME_TRYV(server->open());
  return std::unique_ptr<control_server>(std::move(server));
}

} // namespace toucanmill
