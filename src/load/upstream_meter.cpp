#include <toucanmill/load/upstream_meter.hpp>

#include <algorithm>

namespace toucanmill
{

void upstream_meter::set_slots(std::uint32_t slots)
{
  slots_ = std::max<std::uint32_t>(slots, 1);
}

void upstream_meter::reset()
{
  in_progress_ = 0;
}

void upstream_meter::on_request(time_point)
{
  ++in_progress_;
}

void upstream_meter::on_response(time_point, std::uint16_t, time_point)
{
  in_progress_ -= in_progress_ > 0 ? 1 : 0;
}

void upstream_meter::on_failure(time_point, time_point)
{
  in_progress_ -= in_progress_ > 0 ? 1 : 0;
}

duration upstream_meter::service_time() const
{
  return options_.initial_service_time;
}

duration upstream_meter::expected_wait(std::size_t ahead) const
{
  const std::size_t before = ahead < slots_ ? 0 : ahead - slots_ + 1;
  return service_time() * static_cast<std::int64_t>(before) /
         static_cast<std::int64_t>(slots_);
}

double upstream_meter::admitted_share(time_point) const
{
  return 1;
}

} // namespace toucanmill
