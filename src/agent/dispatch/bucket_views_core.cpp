#include "bucket_views_core.hpp"

#include "visit_order_core.hpp"

namespace toucanmill::detail
{

namespace
{

/// Maximum bucket count of a service (create_service). Bounds the memory used
/// for views of stamps before the first table.
constexpr std::size_t max_buckets = 4096;

} // namespace

void bucket_views::update(const service_table& table)
{
  set_service(table.id);
  views_.resize(table.buckets.size());
  sized_by_table_ = true;
  for (std::size_t bucket = 0; bucket < views_.size(); ++bucket)
    if (auto& view = views_[bucket]; view.version < table.version)
      view = bucket_view{table.version, to_stamped_chain(table, bucket)};
}

const bucket_view* bucket_views::update(const route_stamp& stamp)
{
  set_service(stamp.service);
  const std::size_t limit = sized_by_table_ ? views_.size() : max_buckets;
  if (stamp.bucket >= limit)
    return nullptr;
  if (stamp.bucket >= views_.size())
    views_.resize(stamp.bucket + 1U);
  auto& view = views_[stamp.bucket];
  if (view.version < stamp.version)
    view = bucket_view{stamp.version, stamp.chain};
  return &view;
}

void bucket_views::set_service(service_id service)
{
  if (service == service_)
    return;
  service_ = service;
  views_.clear();
  sized_by_table_ = false;
}

} // namespace toucanmill::detail
