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

/// Newest known chain of each bucket of a service. Stamps of another service
/// may arrive before the first table, if the endpoint was another agent's
/// earlier; the views of one service never serve another.
class bucket_views
{
public:
  /// Takes the chains of a table that are newer than the known ones.
  void take(const service_table& table);

  /// Takes the chain of a stamp if it is newer. Returns the newest view, or
  /// null when the service cannot have such a bucket.
  const bucket_view* take(const route_stamp& stamp);

private:
  void set_service(service_id service);

  service_id service_;
  std::vector<bucket_view> views_;
  bool sized_by_table_ = false;
};

} // namespace toucanmill::detail

#endif
