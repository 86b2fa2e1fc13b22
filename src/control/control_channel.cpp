#include <toucanmill/control/control_channel.hpp>

#include <toucanmill/base/socket_address.hpp>

namespace toucanmill
{

kj::Promise<kj::Own<kj::AsyncIoStream>>
connect_rpc(kj::AsyncIoContext& io, const endpoint& to, kj::Duration limit)
{
  const auto raw = to_sockaddr(to);
  auto address = io.provider->getNetwork().getSockaddr(&raw, sizeof raw);
  auto promise = address->connect().attach(kj::mv(address));
  return io.provider->getTimer().timeoutAfter(limit, kj::mv(promise));
}

control_channel::control_channel(kj::AsyncIoContext& io,
                                 std::vector<endpoint> endpoints)
    : io_(io), timer_(io.provider->getTimer()),
      endpoints_(std::move(endpoints)), target_(endpoints_.front())
{
}

control_channel::~control_channel() = default;

kj::Promise<schema::Control::Client> control_channel::client()
{
  if (connection_ != nullptr)
    return connection_->control;
  if (connecting_ == nullptr || connecting_generation_ != generation_)
    connect();
  return KJ_ASSERT_NONNULL(connecting_)
      .addBranch()
      .then(
          [this]
          {
            if (connection_ == nullptr)
              kj::throwFatalException(
                  KJ_EXCEPTION(DISCONNECTED, "another instance was selected"));
            return connection_->control;
          });
}

void control_channel::connect()
{
  connecting_generation_ = generation_;
  connecting_ =
      connect_rpc(io_, target_, connect_timeout)
          .then(
              [this, attempt = generation_](kj::Own<kj::AsyncIoStream> stream)
              {
                if (attempt == generation_)
                  connection_ =
                      std::make_shared<rpc_connection>(kj::mv(stream));
              })
          .fork();
}

void control_channel::set_endpoints(std::vector<endpoint> endpoints)
{
  endpoints_ = std::move(endpoints);
  selected_ = selected_ % endpoints_.size();
}

void control_channel::move_to_next_instance()
{
  selected_ = (selected_ + 1) % endpoints_.size();
  target_ = endpoints_[selected_];
  close_connection();
}

void control_channel::select_next_instance(std::uint64_t failed)
{
  if (failed == generation_)
    move_to_next_instance();
}

void control_channel::redirect(const endpoint& hint)
{
  if (hint.port == 0)
    return move_to_next_instance();
  target_ = hint;
  close_connection();
}

void control_channel::close_connection()
{
  ++generation_;
  // Destroying the connection inside one of its own callbacks would destroy the
  // running promise, so the destruction is deferred to the event loop.
  if (auto old = std::move(connection_))
    kj::evalLater([old = std::move(old)] {}).detach([](kj::Exception&&) {});
  connection_ = nullptr;
}

} // namespace toucanmill
