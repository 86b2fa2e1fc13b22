#include "rpc_claims.hpp"

namespace toucanmill::daemon
{

namespace
{

claim_status to_status(claim_verdict verdict)
{
  switch (verdict)
  {
  case claim_verdict::granted:
    return claim_status::granted;
  case claim_verdict::completed:
    return claim_status::completed;
  case claim_verdict::in_progress:
    return claim_status::in_progress;
  case claim_verdict::different_request:
    return claim_status::different_request;
  case claim_verdict::limit_reached:
    break;
  }
  // The store of claims is full: the request can't run now.
  return claim_status::unavailable;
}

} // namespace

void rpc_claims::claim(const claim_key& key, claim_id id,
                       const request_digest& digest, on_decided done)
{
  client_->claim({key, id, digest, 0},
                 [done](const result<claim_outcome>& outcome)
                 {
                   if (outcome)
                     done(to_status(outcome.value().verdict),
                          outcome.value().answer);
                   else
                     done(claim_status::unavailable, {});
                 });
}

void rpc_claims::complete(const claim_key& key, claim_id id, std::string answer,
                          on_recorded done)
{
  client_->complete({key, id, std::move(answer)},
                    [done](const result<void>& stored)
                    {
                      done(stored.has_value());
                    });
}

void rpc_claims::release(const claim_key& key, claim_id id)
{
  client_->release({key, id}, [](const result<void>&) {});
}

} // namespace toucanmill::daemon
