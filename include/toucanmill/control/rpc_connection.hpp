#ifndef TOUCANMILL_CONTROL_RPC_CONNECTION_HPP
#define TOUCANMILL_CONTROL_RPC_CONNECTION_HPP

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <toucanmill.capnp.h>

#include <toucanmill/base/address.hpp>

namespace toucanmill
{

/// An open connection to a control instance. Its bootstrap capability is taken
/// once: Cap'n Proto 0.9 starts a second session over the dead stream when
/// bootstrap() is called after a disconnect, and throws when that session ends.
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

/// Connects to an endpoint within a time limit.
kj::Promise<kj::Own<kj::AsyncIoStream>>
connect_rpc(kj::AsyncIoContext& io, const endpoint& to, kj::Duration limit);

} // namespace toucanmill

#endif
