#ifndef TOUCANMILL_CONTROL_RPC_CONNECTION_HPP
#define TOUCANMILL_CONTROL_RPC_CONNECTION_HPP

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <toucanmill.capnp.h>

#include <toucanmill/base/address.hpp>

namespace toucanmill
{

/// Open connection to a control instance. The bootstrap capability is obtained
/// only once: in Cap'n Proto 0.9, calling bootstrap() after a disconnect starts
/// a second session on the closed stream and throws when that session ends.
struct rpc_connection
{
  explicit rpc_connection(kj::Own<kj::AsyncIoStream> opened)
      : stream(kj::mv(opened)), rpc(*stream),
        control(rpc.bootstrap().castAs<schema::Control>())
  {
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient rpc;
  schema::Control::Client control; ///< calls fail after a disconnect
};

/// Connects to an endpoint; the promise fails after `limit`.
kj::Promise<kj::Own<kj::AsyncIoStream>>
connect_rpc(kj::AsyncIoContext& io, const endpoint& to, kj::Duration limit);

} // namespace toucanmill

#endif
