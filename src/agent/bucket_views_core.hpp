#ifndef TOUCANMILL_AGENT_BUCKET_VIEWS_CORE_HPP
#define TOUCANMILL_AGENT_BUCKET_VIEWS_CORE_HPP

#include <cstddef>
#include <vector>

#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::detail
{

/// Chain of a bucket and the version of the table that it is from.
struct bucket_view
{
  table_version version;
  stamped_chain chain;
};

/// Newest known chain of each bucket of a service.
class bucket_views
{
public:
  /// Takes the chains of a table that are newer than the known ones.
  void take(const service_table& table);

  /// Takes the chain of a stamp if it is newer. Returns the newest view, or
  /// null when the service cannot have such a bucket.
  const bucket_view* take(const route_stamp& stamp);

  void clear();

private:
  std::vector<bucket_view> views_;
  bool sized_by_table_ = false;
};

} // namespace toucanmill::detail

#endif
