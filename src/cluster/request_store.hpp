#ifndef TOUCANMILL_CLUSTER_REQUEST_STORE_HPP
#define TOUCANMILL_CLUSTER_REQUEST_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include <toucanmill/cluster/command.hpp>

namespace toucanmill
{

/// Human-readable description of the differences between two requests with the
/// same id; empty if they are equal.
std::string describe_difference(const operator_request& first,
                                const operator_request& second);

/// An operator's request with its first outcome.
struct stored_request
{
  operator_request request;
  change_outcome outcome;
  std::uint64_t index = 0; ///< log index
  std::uint64_t at = 0;    ///< seconds, replicated clock
};

/// First outcomes of operators' requests, kept for the retention period so that
/// a retry receives the same outcome.
class request_store
{
public:
  /// Null if the id is unknown.
  const stored_request* find(const std::string& id) const;

  void insert(stored_request value);
  void expire(std::uint64_t clock);

  std::size_t size() const
  {
    return requests_.size();
  }

  /// Calls visit(request) in log order.
  template <class Visit>
  void for_each(Visit visit) const
  {
    for (const auto& [index, id] : by_index_)
      visit(requests_.at(*id));
  }

private:
  std::unordered_map<std::string, stored_request> requests_;
  std::map<std::uint64_t, const std::string*> by_index_;
};

} // namespace toucanmill

#endif
