#ifndef TOUCANMILL_CLUSTER_CLAIM_STORE_HPP
#define TOUCANMILL_CLUSTER_CLAIM_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

#include <toucanmill/cluster/command.hpp>

namespace toucanmill
{

/// Retention period of request outcomes and claims.
inline constexpr std::uint64_t retention_seconds = 24ULL * 60 * 60;

/// Longer answers are not stored; only the completion is recorded.
inline constexpr std::size_t max_answer_octets = 65536;

/// State of one claimed key.
struct stored_claim
{
  claim_id claim;
  std::array<std::uint8_t, 16> digest{};
  std::uint64_t index = 0; ///< log index of the grant
  std::uint64_t at = 0;    ///< seconds, replicated clock at the grant
  bool completed = false;
  std::string answer;
};

/// Claims of idempotency keys, so that a request runs at most once. An entry is
/// removed only if it is released before its completion, or when the retention
/// period ends; a full store refuses new claims.
class claim_store
{
public:
  explicit claim_store(std::size_t limit_octets) : limit_octets_(limit_octets)
  {
  }

  claim_outcome request(const claim_request& value, std::uint64_t index,
                        std::uint64_t clock);
  void complete(const claim_completion& value);
  void release(const claim_release& value);
  void expire(std::uint64_t clock);

  /// Adds an entry, for example one read from a snapshot.
  void insert(const claim_key& key, stored_claim value);

  std::size_t size() const
  {
    return claims_.size();
  }

  std::size_t octets() const
  {
    return octets_;
  }

  /// Calls visit(key, claim) in grant order.
  template <class Visit>
  void for_each(Visit visit) const
  {
    for (const auto& [index, key] : by_index_)
      visit(*key, claims_.at(*key));
  }

private:
  struct key_hash
  {
    std::size_t operator()(const claim_key& key) const
    {
      return std::hash<std::string>{}(key.key) * 31 + key.service.value;
    }
  };
  struct key_equal
  {
    bool operator()(const claim_key& left, const claim_key& right) const
    {
      return left.service == right.service && left.key == right.key;
    }
  };

  void erase(const claim_key& key);

  std::size_t limit_octets_;
  std::size_t octets_ = 0;
  std::unordered_map<claim_key, stored_claim, key_hash, key_equal> claims_;
  std::map<std::uint64_t, const claim_key*> by_index_;
};

} // namespace toucanmill

#endif
