#ifndef TOUCANMILL_SRC_AGENT_DISPATCH_BUCKET_VIEWS_CORE_HPP
#define TOUCANMILL_SRC_AGENT_DISPATCH_BUCKET_VIEWS_CORE_HPP

#include <cstddef>
#include <vector>

#include <toucanmill/packet/route_stamp.hpp>
#include <toucanmill/table/service_table.hpp>

namespace toucanmill::detail
{

/// Chain of a bucket and the version of its table.
struct bucket_view
{
  table_version version;
  stamped_chain chain;
};

/// Newest known chain of each bucket of a service. All views are discarded when
/// the service changes: before the first table, stamps of another service may
/// arrive if another agent used the same endpoint before.
class bucket_views
{
public:
  /// Stores the chains of a table that are newer than the known ones.
  void update(const service_table& table);

  /// Stores the chain of a stamp if it is newer. Returns the newest view, or
  /// null if the bucket number is out of range.
  const bucket_view* update(const route_stamp& stamp);

private:
  void set_service(service_id service);

  service_id service_;
  std::vector<bucket_view> views_;
  bool sized_by_table_ = false;
};

} // namespace toucanmill::detail

#endif
