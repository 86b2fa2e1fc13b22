#include <toucanmill/observe/latency_histogram.hpp>

#include <utility>

#include <prometheus/histogram.h>

namespace toucanmill
{

namespace
{

const prometheus::Histogram::BucketBoundaries bounds_s = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
    0.1,    0.2,   0.5,   1.0,   2.0,  5.0,  10.0};

} // namespace

struct latency_histogram::content
{
  std::string name;
  std::string help;
  prometheus::Histogram histogram{bounds_s};
};

latency_histogram::latency_histogram(std::string name, std::string help)
    : content_(std::make_unique<content>())
{
  content_->name = std::move(name);
  content_->help = std::move(help);
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::observe(duration value)
{
  content_->histogram.Observe(std::chrono::duration<double>(value).count());
}

sample latency_histogram::read() const
{
  const auto metric = content_->histogram.Collect().histogram;
  sample out;
  out.name = content_->name;
  out.help = content_->help;
  out.value = static_cast<double>(metric.sample_count);
  out.sum = metric.sample_sum;
  for (const auto& bucket : metric.bucket)
    out.buckets.push_back({bucket.upper_bound, bucket.cumulative_count});
  return out;
}

} // namespace toucanmill
