#ifndef TOUCANMILL_BASE_IDS_HPP
#define TOUCANMILL_BASE_IDS_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace toucanmill
{

/// Integer identifier that does not convert to another kind of identifier.
template <class Tag, class Rep>
struct strong_id
{
  using rep = Rep;

  Rep value = 0;

  bool operator==(strong_id other) const
  {
    return value == other.value;
  }
  bool operator!=(strong_id other) const
  {
    return value != other.value;
  }
  bool operator<(strong_id other) const
  {
    return value < other.value;
  }
};

template <class Tag, class Rep>
std::string to_string(strong_id<Tag, Rep> id)
{
  return std::to_string(id.value);
}

/// A service; never reused.
using service_id = strong_id<struct service_id_tag, std::uint32_t>;

/// A balancer or agent; stable over restarts (hash of its configured name).
using node_id = strong_id<struct node_id_tag, std::uint64_t>;

/// One life of a node's process: wall-clock microseconds at its start, so that
/// a later life has a greater value.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

/// One attempt to run a request that has an idempotency key.
using claim_id = strong_id<struct claim_id_tag, std::uint64_t>;

/// Position in the replicated log. Greater versions are newer.
struct table_version
{
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  bool operator==(const table_version& other) const
  {
    return term == other.term && index == other.index;
  }
  bool operator!=(const table_version& other) const
  {
    return !(*this == other);
  }
  bool operator<(const table_version& other) const
  {
    return std::tie(term, index) < std::tie(other.term, other.index);
  }
  bool operator<=(const table_version& other) const
  {
    return !(other < *this);
  }
};

inline std::string to_string(const table_version& version)
{
  return std::to_string(version.term) + "." + std::to_string(version.index);
}

} // namespace toucanmill

template <class Tag, class Rep>
struct std::hash<toucanmill::strong_id<Tag, Rep>>
{
  std::size_t operator()(toucanmill::strong_id<Tag, Rep> id) const
  {
    return std::hash<Rep>{}(id.value);
  }
};

#endif
