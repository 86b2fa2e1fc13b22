#include <toucanmill/observe/status_server.hpp>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

namespace toucanmill
{

namespace
{

prometheus::ClientMetric to_metric(const sample& value)
{
  prometheus::ClientMetric metric;
  for (const auto& [name, label] : value.labels)
    metric.label.push_back({name, label});
  if (!value.buckets.empty())
  {
    metric.histogram.sample_count = static_cast<std::uint64_t>(value.value);
    metric.histogram.sample_sum = value.sum;
    for (const auto& bucket : value.buckets)
      metric.histogram.bucket.push_back(
          {bucket.cumulative_count, bucket.upper_bound});
  }
  else if (value.counter)
    metric.counter.value = value.value;
  else
    metric.gauge.value = value.value;
  return metric;
}

prometheus::MetricType type_of(const sample& value)
{
  if (!value.buckets.empty())
    return prometheus::MetricType::Histogram;
  return value.counter ? prometheus::MetricType::Counter
                       : prometheus::MetricType::Gauge;
}

} // namespace

std::string to_prometheus_text(const std::vector<sample>& samples)
{
  std::map<std::string, prometheus::MetricFamily> families;
  for (const auto& value : samples)
  {
    auto& family = families[value.name];
    family.name = value.name;
    family.help = value.help;
    family.type = type_of(value);
    family.metric.push_back(to_metric(value));
  }
  std::vector<prometheus::MetricFamily> list;
  for (auto& [name, family] : families)
    list.push_back(std::move(family));
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, list);
  return out.str();
}

} // namespace toucanmill
