#ifndef TOUCANMILL_SRC_DAEMON_RPC_CLAIMS_HPP
#define TOUCANMILL_SRC_DAEMON_RPC_CLAIMS_HPP

#include <toucanmill/agent/claim_client.hpp>
#include <toucanmill/control/node_client.hpp>

namespace toucanmill::daemon
{

/// Carries the agent's claims to the control leader.
class rpc_claims final : public claim_client
{
public:
  /// Must be called before the first claim; the client must outlive the agent's
  /// claims.
  void use(node_client& client)
  {
    client_ = &client;
  }

  void claim(const claim_key& key, claim_id id, const request_digest& digest,
             on_decided done) override;
  void complete(const claim_key& key, claim_id id, std::string answer,
                on_recorded done) override;
  void release(const claim_key& key, claim_id id) override;

private:
  node_client* client_ = nullptr;
};

} // namespace toucanmill::daemon

#endif
