#include <toucanmill/agent/session_core.hpp>

namespace toucanmill
{

namespace
{

constexpr std::array<const char*, request_event_count> event_names = {
    "completed",
    "refused_queue_full",
    "refused_queue_deadline",
    "refused_body_too_large",
    "refused_malformed",
    "refused_upstream_unreachable",
    "refused_claim_unavailable",
    "refused_claim_in_progress",
    "refused_claim_different",
    "refused_draining",
    "replayed",
    "unknown_upstream_gone",
    "unknown_deadline",
    "truncated_answer",
    "unexpected_upstream_bytes",
    "cancelled",
    "retried_idempotent",
    "retry_budget_empty",
    "answer_not_recorded",
};

} // namespace

const char* to_string(request_event event)
{
  const auto index = static_cast<std::size_t>(event);
  return index < event_names.size() ? event_names[index] : "unknown";
}

} // namespace toucanmill
