#include <toucanmill/agent/session_core.hpp>

#include <algorithm>

namespace toucanmill
{

namespace
{

/// Limits the burst of retries after a long time without failures.
constexpr double max_retry_tokens = 10;

} // namespace

void retry_budget::on_request()
{
  tokens_ = std::min(tokens_ + ratio_, max_retry_tokens);
}

bool retry_budget::take()
{
  if (tokens_ < 1)
    return false;
  tokens_ -= 1;
  return true;
}

} // namespace toucanmill
