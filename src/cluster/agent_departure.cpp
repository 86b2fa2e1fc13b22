#include <toucanmill/cluster/agent_departure.hpp>

#include <algorithm>

namespace toucanmill
{

bool agent_departure::lists_self(const service_table& table) const
{
  return std::any_of(table.holders.begin(), table.holders.end(),
                     [this](const holder& value)
                     {
                       return value.node == self_;
                     });
}

void agent_departure::on_answer(const table_update& update, bool departing,
                                time_point now)
{
  if (update.full || !update.removed.empty())
    listed_ = false;
  for (const auto& table : update.changed)
    if (table.name == service_)
      listed_ = lists_self(table);
  if (listed_ || !departing)
    unlisted_since_.reset();
  else if (!unlisted_since_)
    unlisted_since_ = now;
}

} // namespace toucanmill
