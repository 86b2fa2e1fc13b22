#ifndef TOUCANMILL_AGENT_CLAIM_CLIENT_HPP
#define TOUCANMILL_AGENT_CLAIM_CLIENT_HPP

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <toucanmill/agent/session_core.hpp>
#include <toucanmill/cluster/command.hpp>

namespace toucanmill
{

/// Claims requests at control. Callbacks may run on any thread, before or after
/// the call returns. Calls for the same claim take effect in order.
class claim_client
{
public:
  using on_decided = std::function<void(claim_status, std::string answer)>;
  using on_recorded = std::function<void(bool stored)>;

  virtual ~claim_client() = default;

  virtual void claim(const claim_key& key, claim_id id,
                     const request_digest& digest, on_decided done) = 0;

  /// Stores the answer of a granted claim. An empty answer records only that
  /// the request ran.
  virtual void complete(const claim_key& key, claim_id id, std::string answer,
                        on_recorded done) = 0;

  /// Withdraws a claim whose request did not run; another may be granted.
  virtual void release(const claim_key& key, claim_id id) = 0;
};

/// In-memory implementation for tests.
class memory_claim_client final : public claim_client
{
public:
  void claim(const claim_key& key, claim_id id, const request_digest& digest,
             on_decided done) override;
  void complete(const claim_key& key, claim_id id, std::string answer,
                on_recorded done) override;
  void release(const claim_key& key, claim_id id) override;

private:
  struct entry
  {
    claim_id id;
    request_digest digest{};
    bool completed = false;
    std::string answer;
  };
  using key_pair = std::pair<service_id, std::string>;

  claim_status decide(const key_pair& key, claim_id id,
                      const request_digest& digest, std::string& answer);

  std::mutex mutex_;
  std::map<key_pair, entry> entries_;
};

} // namespace toucanmill

#endif
